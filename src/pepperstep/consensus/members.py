"""Identities of control hosts and the membership of the Raft group."""

from collections.abc import Iterable
from dataclasses import dataclass

from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Identity", "Membership"]


@dataclass(frozen=True, slots=True, order=True)
class Identity:
    """A host and its disk; a host whose disk is replaced gets a new identity."""

    name: str
    disk_id: str

    @classmethod
    def from_message(cls, message: pb.LogIdentity) -> "Identity":
        """Return the identity in `message`."""
        return cls(message.name, message.disk_id)

    @classmethod
    def from_messages(
        cls, messages: Iterable[pb.LogIdentity]
    ) -> "tuple[Identity, ...]":
        """Return the identities in the order of `messages`."""
        return tuple(cls.from_message(message) for message in messages)

    def to_message(self) -> pb.LogIdentity:
        """Return the identity as a message."""
        return pb.LogIdentity(name=self.name, disk_id=self.disk_id)

    def __str__(self) -> str:
        return f"{self.name}/{self.disk_id[:8]}"


@dataclass(frozen=True, slots=True)
class Membership:
    """Sorted voters and learners; each change affects at most one voter."""

    voters: tuple[Identity, ...] = ()
    learners: tuple[Identity, ...] = ()

    @classmethod
    def from_message(cls, message: pb.LogMembership) -> "Membership":
        """Return the membership in `message`."""
        return cls(
            Identity.from_messages(message.voters),
            Identity.from_messages(message.learners),
        )

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[Identity, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    def to_message(self) -> pb.LogMembership:
        """Return the membership as a message."""
        return pb.LogMembership(
            voters=[identity.to_message() for identity in self.voters],
            learners=[identity.to_message() for identity in self.learners],
        )

    def without(self, identity: Identity) -> "Membership":
        """Return a copy without `identity`."""
        return Membership(
            tuple(other for other in self.voters if other != identity),
            tuple(other for other in self.learners if other != identity),
        )

    def with_learner(self, identity: Identity) -> "Membership":
        """Return a copy with `identity` as an additional learner."""
        return Membership(self.voters, tuple(sorted({*self.learners, identity})))

    def with_voter(self, identity: Identity) -> "Membership":
        """Return a copy with `identity` as a voter instead of a learner."""
        others = self.without(identity)
        return Membership(tuple(sorted({*others.voters, identity})), others.learners)
