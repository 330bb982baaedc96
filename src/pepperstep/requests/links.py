"""Decides links through the replicated log: taken over by the backup, or dropped.

For each link exactly one of the two is granted, so a request never has two owners whose
output reaches readers.
"""

from collections import OrderedDict

import xxhash
from google.protobuf.message import DecodeError

from pepperstep.errors import Code, Failure
from pepperstep.ports import Agreement
from pepperstep.proto import journal_pb2

__all__ = [
    "LINK_MACHINE",
    "LinkDecisions",
    "LinkKey",
    "LinkMachine",
    "reverse_link",
    "link_key",
]

LINK_MACHINE = "links"

# Number of decisions kept. A link is used for minutes, and at most some hundreds of
# hosts fail or restart within an hour.
_MAX_DECISIONS = 20_000

# Generations of reverse links start here; those of other links count from one.
_REVERSE_GENERATION = 1 << 63

LinkKey = tuple[str, int, str, int]


def link_key(link: journal_pb2.Link) -> LinkKey:
    """Return the fields that identify a link."""
    return (link.owner, link.incarnation, link.second, link.generation)


def reverse_link(taken: journal_pb2.Link) -> journal_pb2.Link:
    """Return the link from a taken link's new owner to its previous owner.

    The previous owner may be alive and then has the only other copy of the requests,
    until the new owner has another backup host and drops this link.
    """
    text = f"{taken.incarnation}/{taken.generation}".encode()
    return journal_pb2.Link(
        owner=taken.second,
        incarnation=taken.second_incarnation,
        second=taken.owner,
        generation=_REVERSE_GENERATION | xxhash.xxh3_64_intdigest(text),
        second_incarnation=taken.incarnation,
    )


class LinkMachine:
    """State machine that grants the first command for each link."""

    def __init__(self) -> None:
        # Whether each decided link was taken over, oldest decision first.
        self._taken: OrderedDict[LinkKey, bool] = OrderedDict()

    def apply(self, index: int, command: bytes) -> bytes:
        """Grant the command unless the opposite one was granted before."""
        try:
            message = journal_pb2.LinkCommand.FromString(command)
        except DecodeError:
            return journal_pb2.LinkDecision().SerializeToString()
        key = link_key(message.link)
        is_taken = self._taken.setdefault(key, message.is_takeover)
        if len(self._taken) > _MAX_DECISIONS:
            self._taken.popitem(last=False)
        decision = journal_pb2.LinkDecision(is_granted=is_taken == message.is_takeover)
        return decision.SerializeToString()

    def snapshot(self) -> bytes:
        """Return all decisions."""
        states = [
            journal_pb2.LinkState(link=_link_from_key(key), is_taken=is_taken)
            for key, is_taken in self._taken.items()
        ]
        return journal_pb2.LinkSnapshot(decided=states).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Load the decisions of a snapshot; raise `Failure` if it can't be read."""
        try:
            states = journal_pb2.LinkSnapshot.FromString(data).decided
        except DecodeError as error:
            text = "The links' snapshot can't be read."
            raise Failure(Code.CORRUPT_STORAGE, text) from error
        self._taken = OrderedDict(
            (link_key(state.link), state.is_taken) for state in states
        )


class LinkDecisions:
    """Proposes decisions on links to the replicated log."""

    def __init__(self, agreement: Agreement):
        self._agreement = agreement

    async def take_over(self, link: journal_pb2.Link, timeout: float) -> bool:
        """Return whether the backup host may take over the link's requests.

        Raise `Failure` with `NO_QUORUM` if the decision isn't known; retry then.
        """
        return await self._decide(link, True, timeout)

    async def drop(self, link: journal_pb2.Link, timeout: float) -> bool:
        """Return whether the owner may continue without this backup host.

        Raise `Failure` with `NO_QUORUM` if the decision isn't known; retry then.
        """
        return await self._decide(link, False, timeout)

    async def _decide(
        self, link: journal_pb2.Link, is_takeover: bool, timeout: float
    ) -> bool:
        command = journal_pb2.LinkCommand(link=link, is_takeover=is_takeover)
        result = await self._agreement.propose(
            LINK_MACHINE, command.SerializeToString(), timeout
        )
        return journal_pb2.LinkDecision.FromString(result).is_granted


def _link_from_key(key: LinkKey) -> journal_pb2.Link:
    owner, incarnation, second, generation = key
    return journal_pb2.Link(
        owner=owner, incarnation=incarnation, second=second, generation=generation
    )
