"""State machine of roll-outs in the replicated log, one per service at a time."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["ROLLOUT_MACHINE", "RolloutMachine"]

ROLLOUT_MACHINE = "rollouts"


class RolloutMachine:
    """Keeps the latest roll-out of each service."""

    def __init__(self, on_change: Callable[[Rollout], None] = lambda rollout: None):
        self.on_change = on_change
        self._rollouts: dict[str, Rollout] = {}
        # Records saved before this host restarted; the log may not be applied yet.
        self._preloaded: dict[str, Rollout] = {}
        # Log index of the latest known change.
        self.index = 0

    def get(self, service: str) -> Rollout | None:
        """Return a service's latest roll-out, or None."""
        return self._rollouts.get(service)

    def latest(self) -> list[Rollout]:
        """Return the newest known record of each service's latest roll-out.

        After a restart, a preloaded record may be newer than the applied log.
        """
        merged = dict(self._preloaded)
        for service, rollout in self._rollouts.items():
            preloaded = merged.get(service)
            if preloaded is None or preloaded.index <= rollout.index:
                merged[service] = rollout
        return list(merged.values())

    def expect(self, rollouts: Iterable[Rollout]) -> None:
        """Load records that were committed before this host restarted."""
        for rollout in rollouts:
            self._preloaded[rollout.service] = rollout
            self.index = max(self.index, rollout.index)

    def running(self) -> list[Rollout]:
        """Return the undecided roll-outs."""
        return [each for each in self._rollouts.values() if each.is_running]

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return a `RolloutAnswer`."""
        message = pb.RolloutCommand.FromString(command)
        if message.WhichOneof("kind") == "start":
            is_accepted = self._start(index, message.start)
            service = message.start.service
        else:
            is_accepted = self._move(index, message.move)
            service = message.move.service
        answer = pb.RolloutAnswer(is_refused=not is_accepted)
        last = self._rollouts.get(service)
        if last is not None:
            answer.record.CopyFrom(last.to_message())
        return answer.SerializeToString()

    def snapshot(self) -> bytes:
        """Return all roll-outs as bytes."""
        records = [each.to_message() for each in self._rollouts.values()]
        return pb.RolloutState(records=records).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""
        for record in pb.RolloutState.FromString(data).records:
            rollout = Rollout.from_message(record)
            if self._rollouts.get(rollout.service) != rollout:
                self._store(rollout)

    def _start(self, index: int, start: pb.RolloutStart) -> bool:
        """Start a roll-out, unless the order repeats the latest one.

        Return whether the order is accepted; it is refused while another version is
        rolled out.
        """
        last = self._rollouts.get(start.service)
        if last is not None and last.to == start.to and _is_repeat(last, start):
            return True
        if last is not None and last.is_running:
            return False
        number = 1 if last is None else last.number + 1
        rollout = Rollout(
            start.service,
            number,
            start.to,
            start.duration,
            started_at=start.at,
            changed_at=start.at,
            index=index,
        )
        self._store(rollout)
        return True

    def _move(self, index: int, move: pb.RolloutMove) -> bool:
        last = self._rollouts.get(move.service)
        if last is None or last.number != move.number or not last.is_running:
            return False
        self._store(
            replace(
                last,
                state=RolloutState(move.state),
                share=move.share,
                changed_at=move.at,
                index=index,
                reason=move.reason,
                replaced=tuple(move.replaced),
                step=move.step,
            )
        )
        return True

    def _store(self, rollout: Rollout) -> None:
        self._rollouts[rollout.service] = rollout
        self.index = max(self.index, rollout.index)
        self.on_change(rollout)


def _is_repeat(last: Rollout, start: pb.RolloutStart) -> bool:
    """Whether an order for the same version repeats the last order.

    After a roll-back, an order within `resend_seconds` of the roll-out's start is
    the first order sent again; a later one is a new attempt.
    """
    if last.state is not RolloutState.ROLLED_BACK:
        return True
    return start.at - last.started_at <= start.resend_seconds
