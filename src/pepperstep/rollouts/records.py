"""The replicated record of a roll-out."""

import enum
from dataclasses import dataclass

from pepperstep.proto import rollouts_pb2 as pb

__all__ = ["Rollout", "RolloutState"]


class RolloutState(enum.StrEnum):
    """Whether a roll-out is undecided, or how it ended."""

    RUNNING = "running"
    # The new version has replaced the others.
    SUCCEEDED = "succeeded"
    # The new version gets no requests.
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class Rollout:
    """A move of a service's requests to a new version; times are Unix times."""

    service: str
    # Counts the service's roll-outs from 1.
    number: int
    # Version of the software that the requests move to.
    to: str
    # Seconds from the start to the deadline for the decision.
    duration: float
    started_at: float
    changed_at: float
    state: RolloutState = RolloutState.RUNNING
    # Share of the requests that go to the new version while the roll-out runs.
    share: float = 0.0
    # Log index of the latest change.
    index: int = 0
    reason: str = ""
    # Versions that the new version has replaced.
    replaced: tuple[str, ...] = ()
    # Number of steps of the share entered so far.
    step: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the roll-out is undecided."""
        return self.state is RolloutState.RUNNING

    @property
    def deadline(self) -> float:
        """Unix time by which the roll-out has to be decided."""
        return self.started_at + self.duration

    @classmethod
    def from_message(cls, message: pb.RolloutRecord) -> "Rollout":
        """Return the roll-out in `message`."""
        return cls(
            message.service,
            message.number,
            message.to,
            message.duration,
            message.started_at,
            message.changed_at,
            RolloutState(message.state),
            message.share,
            message.index,
            message.reason,
            tuple(message.replaced),
            message.step,
        )

    def to_message(self) -> pb.RolloutRecord:
        """Return the roll-out as a message."""
        return pb.RolloutRecord(
            service=self.service,
            number=self.number,
            to=self.to,
            duration=self.duration,
            started_at=self.started_at,
            changed_at=self.changed_at,
            state=self.state,
            share=self.share,
            index=self.index,
            reason=self.reason,
            replaced=self.replaced,
            step=self.step,
        )
