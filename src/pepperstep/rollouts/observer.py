"""Counts a roll-out's outcomes on an entry host and reports them."""

from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination.records import Announcement
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts.outcomes import Outcomes, latency_bucket
from pepperstep.rollouts.records import Rollout

__all__ = ["RolloutObserver"]

# Time between two reports while the new version answers or fails requests. It is
# short so that a bad version that gets all requests is stopped soon.
_REPORT_PERIOD_SECONDS = 0.1
# Time between two reports without new outcomes of the new version.
_IDLE_REPORT_PERIOD_SECONDS = 0.75
_CALL_SECONDS = 0.5
# Age of the latest acknowledged report after which no judge is assumed to be active.
_ACKNOWLEDGEMENT_TTL_SECONDS = 1.2
# Consecutive failures of a new version after which this host stops sending it
# requests for some seconds without waiting for the judge.
_MAX_CONSECUTIVE_FAILURES = 3
_SUSPENSION_SECONDS = 2.0


class _Observation:
    """Outcomes of one roll-out on this host, and the state of their reports."""

    def __init__(self, number: int):
        self.number = number
        self.outcomes = Outcomes()
        self.consecutive_failures = 0
        self.suspended_until = float("-inf")
        self.is_reported = False
        self.reported_at = float("-inf")
        # Time of the latest report that the judge has acknowledged.
        self.acknowledged_at = float("-inf")


class RolloutObserver:
    """Counts outcomes of running roll-outs and reports them to the judge.

    The judge is the control host that leads the log; it evaluates the outcomes of
    all entry hosts. `in_flight` returns the number of this host's requests in
    flight at upstreams of other versions than the new one.
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
        # Name of the judge from the latest sync, "" for none.
        self.judge = ""
        self._wake = trio.Event()

    def is_judged(self, rollout: Rollout) -> bool:
        """Whether the judge gets this host's reports and sending isn't suspended."""
        observation = self._observation(rollout)
        now = self._timers.now()
        if now < observation.suspended_until:
            return False
        return now - observation.acknowledged_at < _ACKNOWLEDGEMENT_TTL_SECONDS

    def wake(self) -> None:
        """Resume reporting, after a roll-out has changed."""
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

        `expected` is the expected time to the first token in seconds, 0 if unknown.
        """
        observation = self._observation(rollout)
        is_new = upstream.software == rollout.to
        tally = observation.outcomes.tally(route, upstream.id if is_new else "")
        if seconds is None:
            tally.failed += 1
        else:
            tally.answered[
                latency_bucket(seconds / expected if expected else seconds)
            ] += 1
        if is_new:
            self._record_new_version(observation, is_failure=seconds is None)

    def _record_new_version(
        self, observation: _Observation, *, is_failure: bool
    ) -> None:
        observation.is_reported = False
        if not is_failure:
            observation.consecutive_failures = 0
            return
        observation.consecutive_failures += 1
        if observation.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES:
            observation.suspended_until = self._timers.now() + _SUSPENSION_SECONDS

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            rollouts = self._running()
            if not rollouts:
                self._observations.clear()
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            for rollout in rollouts:
                if self._is_due(self._observation(rollout)):
                    await self._report(rollout)
            await self._timers.sleep(_REPORT_PERIOD_SECONDS)

    def _observation(self, rollout: Rollout) -> _Observation:
        last = self._observations.get(rollout.service)
        if last is None or last.number != rollout.number:
            last = self._observations[rollout.service] = _Observation(rollout.number)
        return last

    def _is_due(self, observation: _Observation) -> bool:
        elapsed = self._timers.now() - observation.reported_at
        return not observation.is_reported or elapsed >= _IDLE_REPORT_PERIOD_SECONDS

    async def _report(self, rollout: Rollout) -> None:
        observation = self._observation(rollout)
        observation.is_reported = True
        observation.reported_at = self._timers.now()
        message = pb.RolloutEvidence(
            service=rollout.service,
            number=rollout.number,
            host=self._host,
            incarnation=self._incarnation,
            outcomes=observation.outcomes.to_messages(),
            in_flight=self._in_flight(rollout),
        )
        if await self._send_evidence(message):
            observation.acknowledged_at = observation.reported_at
        else:
            observation.is_reported = False

    async def _send_evidence(self, message: pb.RolloutEvidence) -> bool:
        """Send a report and return whether the judge has acknowledged it."""
        if not self.judge:
            return False
        try:
            reply = await self._peers.call(self.judge, message, _CALL_SECONDS)
        except Failure as failure:
            logging.info("rollouts: Report to %s failed: %s", self.judge, failure.text)
            return False
        return reply.is_judge
