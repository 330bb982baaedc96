"""Routes attempts to upstreams and rejects requests that would miss their deadline."""

import random
from collections import OrderedDict
from collections.abc import Callable

import trio

from pepperstep.configuration import Configuration
from pepperstep.entities import Request
from pepperstep.errors import Code, Execution, Failure
from pepperstep.ports import Timers
from pepperstep.routing.admission import Admission, check_served, latest_start
from pepperstep.routing.dispatch import Dispatcher
from pepperstep.routing.explanations import Explanation, Explanations
from pepperstep.routing.feedback import Feedback
from pepperstep.routing.placement import AttemptFailure, Placement
from pepperstep.routing.pools import Pool, Pools, UpstreamView
from pepperstep.routing.prediction import Choice, ChoiceContext, Prediction
from pepperstep.routing.prefixes import (
    BLOCK_BYTES,
    CacheEvent,
    PrefixIndex,
    hash_blocks,
)
from pepperstep.routing.queue import ORDERS, FairQueue, Waiter
from pepperstep.routing.retries import RetryBudget, RetryCause, draw_backoff
from pepperstep.routing.service_levels import ServiceLevels
from pepperstep.routing.settings import RoutingSettings
from pepperstep.routing.status import RoutingStatus, UpstreamStatus
from pepperstep.routing.work import WorkEstimate, pool_key

__all__ = ["Router"]

_DELAY_SAMPLE_SECONDS = 0.1
_BUDGET_POLL_SECONDS = 0.25
_MAX_LAST_FAILURES = 10_000


class Router:
    """Decides for one host when each attempt starts and on which upstream."""

    def __init__(
        self,
        view: UpstreamView,
        timers: Timers,
        *,
        settings: RoutingSettings | None = None,
        rng: random.Random | None = None,
        configuration: Callable[[], Configuration] | None = None,
        zone: str = "",
        region: str = "",
        host_count: Callable[[], int] = lambda: 1,
    ):
        settings = settings or RoutingSettings()
        self._settings = settings
        self._timers = timers
        self._rng = rng or random.Random(0)
        defaults = Configuration()
        self._service_levels = ServiceLevels(
            configuration or (lambda: defaults), host_count
        )
        self._prefixes = PrefixIndex(
            settings.belief_half_life, settings.cache_blocks, settings.event_lag
        )
        self._admission = Admission(settings, self._service_levels, self._rng)
        self._retries = RetryBudget(settings)
        self._explanations = Explanations(settings.explanations)
        # Last failure of each request that may be retried, oldest first.
        self._last_failures: OrderedDict[str, AttemptFailure] = OrderedDict()
        self._pools = Pools(
            view, settings, self._service_levels, self._new_queue, self._prefixes.forget
        )
        self._dispatcher = Dispatcher(
            self._pools,
            timers,
            self._service_levels,
            ChoiceContext(settings, self._rng, self._prefixes, zone, region),
            Feedback(settings, self._prefixes),
            self._record_placement,
            self._record_failure,
        )

    @property
    def status(self) -> RoutingStatus:
        """Current state of the queues, limits and upstreams."""
        self._pools.sync(self._timers.now(), 0.0)
        return RoutingStatus(
            in_flight=self._dispatcher.in_flight,
            host_limit=self._dispatcher.host_limit,
            waiting=sum(len(pool.queue) for pool in self._pools),
            upstreams=[UpstreamStatus.from_tracked(t) for t in self._pools.upstreams],
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Adapt the host's concurrency limit to its timer delay until cancelled."""
        task_status.started()
        while True:
            due = self._timers.now() + _DELAY_SAMPLE_SECONDS
            await self._timers.sleep(_DELAY_SAMPLE_SECONDS)
            now = self._timers.now()
            self._dispatcher.record_timer_delay(now - due, now)

    def check(self, request: Request) -> None:
        """Admit a new request, which has not run yet, or raise `Failure`.

        The code is `NO_UPSTREAM` if no upstream serves the request, `QUEUE_FULL`
        if too many requests of its workspace wait, and `OVERLOADED` if it is
        predicted to miss its deadline or target.
        """
        now = self._timers.now()
        pool = self._pools.get(pool_key(request), now)
        check_served(request, pool)
        pool.last_request_at[request.priority] = now
        wanted = self._admission.count_admitted(pool, now) + 1
        room = self._dispatcher.check_room(request, pool, wanted, now)
        remaining = request.deadline - self._timers.wall()
        self._admission.admit(request, pool, room, remaining, now)

    async def acquire(
        self,
        request: Request,
        prefix_tokens: int,
        excluded: frozenset[str],
        *,
        attempt: int = 1,
        cause: RetryCause | None = None,
        execution: Execution | None = None,
    ) -> Placement:
        """Wait for the request's turn and return its placement on an upstream.

        `prefix_tokens` tokens were generated by earlier attempts. Upstreams named
        in `excluded` are used only if no other upstream serves the request.
        `attempt` counts from 1. Without a `cause`, the cause of a retry is
        inferred from how the previous attempt failed. `execution` is reported by
        a raised failure; it says whether earlier attempts may have run.

        Raise `Failure` with `RETRIES_EXHAUSTED` or `DEADLINE_EXPIRED`.
        """
        if execution is None:
            execution = Execution.NOT_RUN if attempt == 1 else Execution.MAY_HAVE_RUN
        predicted_wait = self._admission.pop_predicted_wait(request)
        if attempt == 1:
            self._retries.record_first_attempt(
                request.workspace, self._service_levels.retry_share, self._timers.now()
            )
        else:
            cause = cause or self._infer_retry_cause(request)
            await self._wait_before_retry(request, attempt, cause, execution)
        now = self._timers.now()
        pool = self._pools.get(pool_key(request), now)
        pool.last_request_at[request.priority] = now
        waiter = self._new_waiter(request, prefix_tokens, excluded, pool)
        waiter.predicted_wait = predicted_wait
        waiter.attempt = attempt
        waiter.cause = cause
        waiter.execution = execution
        return await self._dispatcher.wait(waiter, pool)

    def explain(self, request_id: str) -> list[Explanation]:
        """Return the routing decisions for the attempts of a request, oldest first."""
        return self._explanations.find(request_id)

    def apply_cache_event(self, event: CacheEvent) -> None:
        """Apply an engine's report of a change of its prefix cache."""
        self._prefixes.apply_event(event, self._timers.now())

    def _new_queue(self) -> FairQueue:
        order = ORDERS[self._settings.queue]
        share = self._settings.lower_class_share
        return FairQueue(order, self._service_levels.weight_of, share)

    def _new_waiter(
        self, request: Request, prefix_tokens: int, excluded: frozenset[str], pool: Pool
    ) -> Waiter:
        left = max(0, request.max_tokens - prefix_tokens)
        work = self._estimate_work(request, prefix_tokens, left, pool)
        cost = (
            work.tokens * pool.prefill_seconds
            + work.answer_tokens * pool.decode_seconds
        )
        if not work.is_engine_work:
            cost = pool.hold_time.value
        return Waiter(
            work=work,
            excluded=excluded,
            cost=cost,
            latest_start=latest_start(request, pool, left),
            queued_at=self._timers.now(),
        )

    def _estimate_work(
        self, request: Request, prefix_tokens: int, left: int, pool: Pool
    ) -> WorkEstimate:
        hashes = []
        if self._settings.choice == "predicted" and request.prompt:
            hashes = hash_blocks(request.prompt)
        characters = len(request.prompt)
        prompt_tokens = round(characters * pool.tokens_per_character.value)
        block_tokens = 0.0
        if hashes:
            block_tokens = prompt_tokens * BLOCK_BYTES / len(request.prompt.encode())
        return WorkEstimate(
            request=request,
            tokens=prompt_tokens + prefix_tokens,
            prompt_tokens=prompt_tokens,
            answer_tokens=left * pool.answer_shares[request.priority].value,
            hashes=hashes,
            block_tokens=block_tokens,
        )

    def _infer_retry_cause(self, request: Request) -> RetryCause:
        """Distinguish the loss of an upstream from a failure of a live one."""
        failure = self._last_failures.pop(request.id, None)
        if failure is None:
            return RetryCause.DIED
        now = self._timers.now()
        self._pools.sync(now, 0.0)
        tracked = self._pools.find(failure.upstream, failure.epoch)
        if tracked is None or tracked.upstream.is_leaving:
            return RetryCause.RECLAIMED
        if failure.is_busy or failure.is_refused and tracked.is_failing(now):
            return RetryCause.REFUSED
        return RetryCause.FAILED if tracked.is_failing(now) else RetryCause.DIED

    async def _spend_retry(self, request: Request, cause: RetryCause) -> bool:
        """Spend a retry, waiting up to `retry_wait` seconds for the budget.

        An accepted request's caller may already have a part of the answer, so a
        late retry is better than a lost request.
        """
        give_up_at = self._timers.now() + self._settings.retry_wait
        while True:
            now = self._timers.now()
            if self._retries.spend(request.workspace, now, cause.may_overdraw):
                return True
            is_late = self._timers.wall() >= request.deadline
            if cause.may_overdraw or now >= give_up_at or is_late:
                return False
            await self._timers.sleep(_BUDGET_POLL_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _wait_before_retry(
        self, request: Request, attempt: int, cause: RetryCause, execution: Execution
    ) -> None:
        """Spend a retry and back off; raise `Failure` if no attempt is allowed."""
        is_granted = await self._spend_retry(request, cause)
        if not is_granted and not cause.may_overdraw:
            raise Failure(
                Code.RETRIES_EXHAUSTED,
                f"Attempt {attempt - 1} was {cause}, and the retry budget is used up.",
                execution=execution,
                retry_after=self._settings.retry_floor_period,
            )
        # The first retry of a request that lost its upstream needs no backoff.
        if is_granted and cause.may_overdraw and attempt == 2:
            return
        backoff = draw_backoff(attempt - 1, self._rng, self._settings)
        if self._timers.wall() + backoff >= request.deadline:
            raise Failure(
                Code.DEADLINE_EXPIRED,
                "No time is left for another attempt.",
                execution=execution,
            )
        await self._timers.sleep(backoff)

    def _record_placement(self, placement: Placement, choice: Choice) -> None:
        now = placement.started_at
        waiter = placement.waiter
        work = waiter.work
        for prediction in choice.considered:
            if prediction.upstream == placement.upstream.name:
                self._record_prediction(placement, prediction)
        placement.targets = self._service_levels.targets_of(work.request)
        self._prefixes.record_placement(placement.upstream.name, work.hashes, now)
        self._explanations.add(
            Explanation(
                request_id=work.request.id,
                attempt=waiter.attempt,
                upstream=placement.upstream.name,
                placed_at=self._timers.wall(),
                waited=now - waiter.queued_at,
                policy=self._settings.choice,
                reason=choice.reason,
                retry_cause=waiter.cause or "",
                considered=choice.considered,
            )
        )

    def _record_prediction(self, placement: Placement, prediction: Prediction) -> None:
        work = placement.waiter.work
        placement.uncached_tokens = work.tokens - prediction.cached_tokens
        placement.predicted = prediction.seconds - prediction.history
        if work.block_tokens:
            blocks = prediction.cached_tokens / work.block_tokens
            placement.expected_blocks = blocks

    def _record_failure(self, placement: Placement) -> None:
        if placement.failure is None:
            return
        self._last_failures[placement.waiter.work.request.id] = placement.failure
        if len(self._last_failures) > _MAX_LAST_FAILURES:
            self._last_failures.popitem(last=False)
