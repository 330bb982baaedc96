"""Selection of the upstream for a request, by its service's scheduler or locally.

With scheduling, the owner of a shard decides for all entry hosts. Without it, or if no
owner answers, this host chooses by its own requests.
"""

import math

from pepperstep.entities.routes import Workspace
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import PlacementRefused, RequestScheduled
from pepperstep.observability.scheduling_recorder import SchedulingRecorder
from pepperstep.ports import Timers
from pepperstep.relay.choice import Choice, Chooser
from pepperstep.relay.relayed_request import RelayedRequest
from pepperstep.relay.usual_waits import UsualWaits
from pepperstep.scheduling.client import (
    NotAdmitted,
    Scheduled,
    SchedulingClient,
    Unavailable,
)
from pepperstep.scheduling.requests import PlacementRequest

__all__ = ["Selector"]

# Tokens that weigh as much as one request, where some quotas count tokens and others
# requests.
_TOKENS_PER_REQUEST = 1_000


class Selector:
    """Selects upstreams; `scheduling` is None where hosts decide by themselves."""

    def __init__(
        self,
        chooser: Chooser,
        scheduling: SchedulingClient | None,
        waits: UsualWaits,
        recorder: SchedulingRecorder,
        timers: Timers,
    ):
        self._chooser = chooser
        self._scheduling = scheduling
        self._waits = waits
        self._recorder = recorder
        self._timers = timers

    async def select(self, request: RelayedRequest) -> Choice | None:
        """Return an upstream for the request's next attempt, or None if there is none.

        Raise `Failure` with the time to retry if the request isn't admitted.
        """
        if self._scheduling is None:
            return await self._choose_locally(request)
        candidates = self._chooser.candidates(
            request.service, request.facts, request.tried, request.software
        )
        if not candidates:
            return None
        asked = self._placement_request(request)
        decision = await self._scheduling.place(request.service, asked, candidates)
        if isinstance(decision, Unavailable):
            service = request.service.name
            self._recorder.record_unavailable(request.name, service, decision.shards)
            return await self._choose_locally(request)
        if isinstance(decision, NotAdmitted):
            if not asked.is_retry:
                self._chooser.record_refused(candidates, request.facts)
            return self._refuse(request, asked, decision)
        self._recorder.record_placed(_scheduled_event(request, decision))
        return Choice(
            decision.upstream,
            decision.missing,
            decision.expected,
            len(candidates),
            decision,
        )

    def record_first_token(self, choice: Choice, seconds: float | None) -> None:
        """Report that the upstream has prefilled the prompt after `seconds`."""
        if choice.scheduled is None or seconds is None:
            return
        self._scheduling.record_first_token(choice.scheduled, seconds)
        service = choice.scheduled.service
        self._recorder.record_first_token(service, choice.first_token, seconds)

    def end(self, choice: Choice, seconds: float | None) -> None:
        """Report an attempt's end after `seconds`, None if it brought no answer."""
        if choice.scheduled is not None:
            self._scheduling.end(choice.scheduled, seconds)

    async def _choose_locally(self, request: RelayedRequest) -> Choice | None:
        return await self._chooser.choose(
            request.service, request.facts, request.tried, request.software
        )

    def _refuse(
        self, request: RelayedRequest, asked: PlacementRequest, decision: NotAdmitted
    ) -> None:
        """Raise the refusal's `Failure`, unless the request may have run already."""
        refusal = decision.refusal
        event = PlacementRefused(
            request=request.name,
            service=request.service.name,
            shard=decision.shard,
            owner=decision.owner,
            workspace=request.workspace_name,
            priority=request.priority,
            reason=refusal.reason,
            delay_ms=_milliseconds(refusal.delay),
            retry_after_ms=_milliseconds(refusal.retry_after),
            asked=decision.asked,
            waited_share=round(asked.waited_share, 2),
        )
        self._recorder.record_refused(event)
        has_answer = request.failure_answer is not None
        if request.may_have_run or has_answer or request.exchange.has_begun:
            return
        text = f"Not admitted: {refusal.reason}, delay {refusal.delay:.2f} s."
        raise Failure(Code.NO_UPSTREAM, text, retry_after=refusal.retry_after)

    def _placement_request(self, request: RelayedRequest) -> PlacementRequest:
        """Return the request for a placement; the client sets its id and host."""
        facts = request.facts
        route = request.route
        now = self._timers.now()
        if request.waited is None:
            request.waited = self._waits.observe(route.name, facts.wait)
        waited = request.waited
        usual = waited + (facts.wait or 0.0)
        target = math.inf
        if route.target_latency:
            age = now - request.exchange.arrived_at
            target = route.target_latency - waited - age
        return PlacementRequest(
            id="",
            host="",
            workspace=request.workspace_name,
            weight=_weight_of(request.workspace),
            priority=request.priority,
            parts=facts.prompt_parts,
            answer_tokens=facts.expected_tokens or facts.answer_tokens,
            target=target,
            full_target=route.target_latency,
            remaining=request.deadline - now,
            waited_share=waited / usual if usual else 0.0,
            is_retry=bool(request.tried),
        )


def _scheduled_event(request: RelayedRequest, scheduled: Scheduled) -> RequestScheduled:
    return RequestScheduled(
        request=request.name,
        service=scheduled.service,
        shard=scheduled.shard,
        owner=scheduled.owner,
        upstream=scheduled.upstream.id,
        missing_tokens=scheduled.missing,
        expected_ms=_milliseconds(scheduled.expected),
        asked=scheduled.asked,
        workspace=request.workspace_name,
        priority=request.priority,
    )


def _milliseconds(seconds: float) -> int:
    """Return whole milliseconds, -1 for an unbounded time."""
    return round(1000 * seconds) if math.isfinite(seconds) else -1


def _weight_of(workspace: Workspace | None) -> float:
    """Return a workspace's weight: its quota in requests per second, 1 without one."""
    quota = None if workspace is None else workspace.quota
    if quota is None or quota.rate <= 0:
        return 1.0
    return quota.rate / _TOKENS_PER_REQUEST if quota.counts_tokens else quota.rate
