"""Chooses the upstream for a request's next attempt."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperstep.entities import RequestKind, Upstream
from pepperstep.ports import Timers
from pepperstep.requests.attempts import Cause, Resumption
from pepperstep.requests.guards import Admission, Permission
from pepperstep.requests.recovery import Recovery
from pepperstep.requests.run import Run
from pepperstep.routing import Placement, RetryCause, Router

__all__ = ["AttemptPlan", "Placer"]

_POLL_INTERVAL_SECONDS = 0.1
# How long to wait for a slot on an upstream that imported the KV cache.
_TARGET_TIMEOUT_SECONDS = 10.0
# A suspect that has waited this long for an upstream without other suspects, or for a
# deciding host, runs beside others. Otherwise a request that merely shared an upstream
# with the crashing one would starve.
_MAX_ISOLATION_WAIT_SECONDS = 15.0
# A suspect passes once it has generated as many tokens as the lost attempt, plus this
# margin.
_PASSING_TOKENS = 64
# Suspects start in the order of the tokens that their lost attempts had generated,
# because a request that crashes upstreams mostly does so at once.
_START_DELAY_SECONDS_PER_TOKEN = 0.002
_MAX_START_DELAY_SECONDS = 0.5
_MAX_CANDIDATES = 6
# Causes that the router can't determine itself.
_RETRY_CAUSES = {
    Cause.RECLAIM: RetryCause.RECLAIMED,
    Cause.CRASH: RetryCause.DIED,
    Cause.UNREACHABLE: RetryCause.DIED,
    Cause.TAKEOVER: RetryCause.DIED,
}


@dataclass(slots=True)
class AttemptPlan:
    """Constraints on a run's next attempt."""

    # Why another attempt is needed, None for the first.
    cause: Cause | None = None
    excluded: set[str] = field(default_factory=set)
    # Upstream that imported the KV cache of `imported_attempt`, or that was chosen by
    # the move plan.
    target: str = ""
    imported_attempt: str = ""
    # Upstreams that already run the same content; the next attempt must use one of
    # them.
    shared_upstreams: frozenset[str] = frozenset()
    is_suspect: bool = False
    # Whether another run of the same content has to end first.
    is_waiting: bool = False
    # Whether the run is the only suspect on its upstream, and whether it must remain so
    # until it ends.
    is_isolated: bool = False
    is_strict: bool = False
    lost_zones: set[str] = field(default_factory=set)
    lost_tokens: int = 0

    @property
    def is_restricted(self) -> bool:
        """Whether the guard limits where and when the request may run."""
        return self.is_waiting or self.is_suspect or bool(self.shared_upstreams)

    @property
    def passing_tokens(self) -> int:
        """Tokens that a suspect generates before other suspects may join it."""
        return self.lost_tokens + _PASSING_TOKENS

    def resume(self, resumption: Resumption) -> None:
        """Apply the resumption of an attempt that was stopped."""
        self.cause = resumption.cause
        self.target = resumption.target
        self.imported_attempt = resumption.imported_attempt

    def apply(self, admission: Admission) -> None:
        """Apply the guard's admission decision."""
        self.shared_upstreams = admission.upstreams
        self.is_waiting = admission.permission is Permission.WAIT
        if admission.permission is Permission.GRANTED:
            self.is_suspect = admission.is_suspect
            self.is_strict = admission.is_strict

    def record_loss(self, upstream: Upstream, tokens: int) -> None:
        """Mark the run as a suspect after a loss with `tokens` generated."""
        self.is_suspect = True
        self.lost_zones.add(upstream.zone)
        self.lost_tokens = max(self.lost_tokens, tokens)


class Placer:
    """Acquires placements that the router offers and the guard permits."""

    def __init__(self, router: Router, recovery: Recovery, timers: Timers):
        self._router = router
        self._moves = recovery.moves
        self._guard = recovery.guard
        self._timers = timers

    async def place(self, run: Run, plan: AttemptPlan) -> Placement:
        """Return a placement at which the run may start immediately.

        Raise `Failure` with `CRASHING_REQUEST` if its content is blocked, and whatever
        the router raises.
        """
        if plan.is_suspect:
            seconds = _START_DELAY_SECONDS_PER_TOKEN * plan.lost_tokens
            await self._timers.sleep(min(seconds, _MAX_START_DELAY_SECONDS))
        else:
            placement = await self._place_unrestricted(run, plan)
            if placement is not None:
                return placement
        while True:
            upstream = await self._find_isolated(run, plan)
            placement = await self._acquire(run, plan, [upstream.name])
            if placement.upstream.name == upstream.name:
                return placement
            placement.release()
            self._guard.release_upstream(run, upstream)
            await self._timers.sleep(_POLL_INTERVAL_SECONDS)

    async def _place_unrestricted(
        self, run: Run, plan: AttemptPlan
    ) -> Placement | None:
        """Return a placement, or None once the guard restricts the content."""
        while True:
            placement = await self._acquire_near_target(run, plan)
            try:
                if not self._moves.is_leaving(placement.upstream):
                    admission = await self._guard.admit(run, placement.upstream)
                    if (
                        admission.permission is Permission.GRANTED
                        and not admission.is_suspect
                    ):
                        return placement
                    plan.apply(admission)
            except BaseException:
                placement.release()
                raise
            placement.release()
            if plan.is_restricted:
                return None
            await self._timers.sleep(_POLL_INTERVAL_SECONDS)

    async def _acquire_near_target(self, run: Run, plan: AttemptPlan) -> Placement:
        if plan.target:
            with self._timers.move_on_after(_TARGET_TIMEOUT_SECONDS):
                placement = await self._acquire(run, plan, [plan.target])
                if placement.upstream.name != plan.target:
                    plan.imported_attempt = ""
                return placement
            plan.target = plan.imported_attempt = ""
        return await self._acquire(run, plan)

    async def _acquire(
        self, run: Run, plan: AttemptPlan, allowed: Iterable[str] = ()
    ) -> Placement:
        excluded = set(plan.excluded)
        if allowed:
            names = {upstream.name for upstream in self._moves.candidates()}
            excluded = names - set(allowed)
        is_first = run.attempt == 0
        return await self._router.acquire(
            run.request,
            len(run.tokens),
            frozenset(excluded),
            attempt=run.attempt + 1,
            cause=None if is_first else _RETRY_CAUSES.get(plan.cause),
            execution=run.execution,
        )

    async def _find_isolated(self, run: Run, plan: AttemptPlan) -> Upstream:
        """Wait for an upstream on which the guard admits the run, and return it.

        A suspect is then the only one on that upstream, unless it had to wait for
        `_MAX_ISOLATION_WAIT_SECONDS`.
        """
        give_up_at = self._timers.now() + _MAX_ISOLATION_WAIT_SECONDS
        plan.target = plan.imported_attempt = ""
        while True:
            upstreams = self._isolation_candidates(run, plan)
            is_timed_out = self._timers.now() >= give_up_at
            for upstream in upstreams:
                admission = await self._guard.admit(run, upstream)
                plan.apply(admission)
                if admission.permission is Permission.SHARE:
                    break
                is_granted = admission.permission is Permission.GRANTED
                plan.is_isolated = is_granted and await self._guard.reserve_upstream(
                    run, upstream
                )
                if (
                    plan.is_isolated
                    or is_timed_out
                    or is_granted
                    and not admission.is_suspect
                ):
                    return upstream
            await self._timers.sleep(_POLL_INTERVAL_SECONDS)

    def _isolation_candidates(self, run: Run, plan: AttemptPlan) -> list[Upstream]:
        """Return upstreams that a suspect may try, the least loaded first.

        Zones in which this request has lost an upstream are avoided if possible: a zone
        failure must not look like a second upstream crash caused by the request.
        """
        usable = [u for u in self._moves.candidates() if _serves(u, run)]
        shared_upstreams = [u for u in usable if u.name in plan.shared_upstreams]
        unaffected = [u for u in usable if u.zone not in plan.lost_zones]
        ranked = sorted(shared_upstreams or unaffected or usable, key=_relative_load)
        return ranked[:_MAX_CANDIDATES]


def _relative_load(upstream: Upstream) -> float:
    return (upstream.load.running + upstream.load.waiting) / max(1, upstream.slots)


def _serves(upstream: Upstream, run: Run) -> bool:
    if run.request.kind is RequestKind.SERVICE:
        return upstream.service == run.request.target
    return run.request.model_key in upstream.models
