"""What an entry host sees of a roll-out, and how it tells the judge."""

from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination.records import Announcement
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts.outcomes import Outcomes, speed_class
from pepperstep.rollouts.records import Rollout

__all__ = ["RolloutObserver"]

# Between two messages to the judge, in seconds: where the new version has answered
# or failed, and else. A bad one that gets all requests is stopped by the first.
_PERIOD_SECONDS = 0.1
_IDLE_SECONDS = 0.75
_CALL_SECONDS = 0.5
# Time since the judge's latest answer after which nobody judges, in seconds.
_JUDGED_SECONDS = 1.2
# Requests that failed in a row on a new version after which this host sends it no
# others for some seconds, whatever the judge knows.
_MOST_IN_A_ROW = 3
_STOP_SECONDS = 2.0


class _Observation:
    """Outcomes of one roll-out on this host."""

    def __init__(self, number: int):
        self.number = number
        self.outcomes = Outcomes()
        self.failed_in_a_row = 0
        self.stopped_until = float("-inf")
        self.is_told = False
        self.told_at = float("-inf")
        # When the latest message was made that the judge has acknowledged.
        self.judged_at = float("-inf")


class RolloutObserver:
    """Counts outcomes while a roll-out runs, and tells the control host that judges.

    `in_flight` gives the requests under way at a service's upstreams of other
    versions than the one given.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        peers: PeerNetwork,
        timers: Timers,
        running: Callable[[], list[Rollout]],
        in_flight: Callable[[Rollout], int],
    ):
        self._host = host
        self._incarnation = incarnation
        self._peers = peers
        self._timers = timers
        self._running = running
        self._in_flight = in_flight
        self._observations: dict[str, _Observation] = {}
        # Control host that judges, as the latest answers told.
        self.judge = ""
        self._wake = trio.Event()

    def is_judged(self, rollout: Rollout) -> bool:
        """Whether the judge knows what happens here, and this host sees no fault."""
        observation = self._observation(rollout)
        now = self._timers.now()
        if now < observation.stopped_until:
            return False
        return now - observation.judged_at < _JUDGED_SECONDS

    def wake(self) -> None:
        """Tell the judge at once; called when a roll-out has changed."""
        self._wake.set()

    def record_outcome(
        self,
        rollout: Rollout,
        route: str,
        upstream: Announcement,
        seconds: float | None,
        expected: float,
    ) -> None:
        """Count a request that ended; `seconds` is None for a failure.

        `expected` gives the seconds that its first token should take, 0 for none.
        """
        observation = self._observation(rollout)
        is_new = upstream.software == rollout.to
        tally = observation.outcomes.tally(route, upstream.id if is_new else "")
        if seconds is None:
            tally.failed += 1
        else:
            tally.answered[
                speed_class(seconds / expected if expected else seconds)
            ] += 1
        if is_new:
            self._note_new(observation, is_failure=seconds is None)

    def _note_new(self, observation: _Observation, *, is_failure: bool) -> None:
        observation.is_told = False
        if not is_failure:
            observation.failed_in_a_row = 0
            return
        observation.failed_in_a_row += 1
        if observation.failed_in_a_row >= _MOST_IN_A_ROW:
            observation.stopped_until = self._timers.now() + _STOP_SECONDS

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            rollouts = self._running()
            if not rollouts:
                self._observations.clear()
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            for rollout in rollouts:
                if self._is_due(self._observation(rollout)):
                    await self._tell(rollout)
            await self._timers.sleep(_PERIOD_SECONDS)

    def _observation(self, rollout: Rollout) -> _Observation:
        held = self._observations.get(rollout.service)
        if held is None or held.number != rollout.number:
            held = self._observations[rollout.service] = _Observation(rollout.number)
        return held

    def _is_due(self, observation: _Observation) -> bool:
        passed = self._timers.now() - observation.told_at
        return not observation.is_told or passed >= _IDLE_SECONDS

    async def _tell(self, rollout: Rollout) -> None:
        observation = self._observation(rollout)
        observation.is_told = True
        observation.told_at = self._timers.now()
        message = pb.RolloutEvidence(
            service=rollout.service,
            number=rollout.number,
            host=self._host,
            incarnation=self._incarnation,
            outcomes=observation.outcomes.to_messages(),
            in_flight=self._in_flight(rollout),
        )
        if await self._is_taken(message):
            observation.judged_at = observation.told_at
        else:
            observation.is_told = False

    async def _is_taken(self, message: pb.RolloutEvidence) -> bool:
        """Whether the judge has acknowledged what this host saw."""
        if not self.judge:
            return False
        try:
            reply = await self._peers.call(self.judge, message, _CALL_SECONDS)
        except Failure as failure:
            logging.info("rollouts: %s isn't told: %s", self.judge, failure.text)
            return False
        return reply.is_judge
