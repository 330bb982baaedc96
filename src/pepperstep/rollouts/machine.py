"""Roll-outs in the replicated log: one at a time for each service."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["ROLLOUT_MACHINE", "RolloutMachine"]

ROLLOUT_MACHINE = "rollouts"


class RolloutMachine:
    """The latest roll-out of each service."""

    def __init__(self, on_change: Callable[[Rollout], None] = lambda rollout: None):
        self.on_change = on_change
        self._rollouts: dict[str, Rollout] = {}
        # What was agreed on before this host's start; the log may not be read yet.
        self._preloaded: dict[str, Rollout] = {}
        # Position in the log of the latest change that is known.
        self.index = 0

    def get(self, service: str) -> Rollout | None:
        """Return a service's latest roll-out, None if it had none."""
        return self._rollouts.get(service)

    def latest(self) -> list[Rollout]:
        """Return the newest that's known of each service's latest roll-out.

        Right after a start that's more than what the log's applied part says.
        """
        merged = dict(self._preloaded)
        for service, rollout in self._rollouts.items():
            preloaded = merged.get(service)
            if preloaded is None or preloaded.index <= rollout.index:
                merged[service] = rollout
        return list(merged.values())

    def expect(self, rollouts: Iterable[Rollout]) -> None:
        """Take in what was agreed on before this host's start."""
        for rollout in rollouts:
            self._preloaded[rollout.service] = rollout
            self.index = max(self.index, rollout.index)

    def running(self) -> list[Rollout]:
        """Return the roll-outs that are undecided."""
        return [each for each in self._rollouts.values() if each.is_running]

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a command and return a `RolloutAnswer`."""
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
        """Return all roll-outs."""
        records = [each.to_message() for each in self._rollouts.values()]
        return pb.RolloutState(records=records).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Take the state that `snapshot` returned."""
        for record in pb.RolloutState.FromString(data).records:
            rollout = Rollout.from_message(record)
            if self._rollouts.get(rollout.service) != rollout:
                self._store(rollout)

    def _start(self, index: int, start: pb.RolloutStart) -> bool:
        """Begin a roll-out, unless the order repeats the latest one.

        Return whether the order stands; another version waits for the running one.
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
    """Whether an order for the same version brings nothing new.

    One that comes after a roll-back may be the first order sent again, or a second
    try: the first for as long as orders may be sent again.
    """
    if last.state is not RolloutState.ROLLED_BACK:
        return True
    return start.at - last.started_at <= start.resend_seconds
