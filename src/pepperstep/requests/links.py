"""Agreed decisions on links: takeover by the second, or drop by the owner.

For each life of a link exactly one of both is granted, so a request never has
two owners whose output counts.
"""

from collections import OrderedDict

from pepperstep.ports import Agreement
from pepperstep.proto import journal_pb2

__all__ = ["LINK_MACHINE", "LinkDecisions", "LinkMachine"]

LINK_MACHINE = "links"

# Decisions kept; a link is used for minutes, and at most some hundreds of
# hosts fail or restart within an hour.
_MAX_DECISIONS = 20_000

_Key = tuple[str, int, str, int]


class LinkMachine:
    """Agreed machine that grants the first command for each link."""

    def __init__(self) -> None:
        # Whether the link was taken over, by link, oldest first.
        self._taken: OrderedDict[_Key, bool] = OrderedDict()

    def apply(self, index: int, command: bytes) -> bytes:
        """Grant the command unless the other way was granted before."""
        message = journal_pb2.LinkCommand.FromString(command)
        key = _key_of(message.link)
        is_taken = self._taken.setdefault(key, message.is_takeover)
        if len(self._taken) > _MAX_DECISIONS:
            self._taken.popitem(last=False)
        decision = journal_pb2.LinkDecision(is_granted=is_taken == message.is_takeover)
        return decision.SerializeToString()

    def snapshot(self) -> bytes:
        """Return all decisions."""
        states = [
            journal_pb2.LinkState(link=_link_of(key), is_taken=is_taken)
            for key, is_taken in self._taken.items()
        ]
        return journal_pb2.LinkSnapshot(decided=states).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Take the decisions of a snapshot."""
        states = journal_pb2.LinkSnapshot.FromString(data).decided
        self._taken = OrderedDict(
            (_key_of(state.link), state.is_taken) for state in states
        )


class LinkDecisions:
    """Asks the agreed log for decisions on links."""

    def __init__(self, agreement: Agreement):
        self._agreement = agreement

    async def take_over(self, link: journal_pb2.Link, timeout: float) -> bool:
        """Return whether the second may take the link's requests over.

        Raise `Failure` with `NO_QUORUM` if that isn't known; ask again then.
        """
        return await self._decide(link, True, timeout)

    async def drop(self, link: journal_pb2.Link, timeout: float) -> bool:
        """Return whether the owner may go on without this second."""
        return await self._decide(link, False, timeout)

    async def _decide(
        self, link: journal_pb2.Link, is_takeover: bool, timeout: float
    ) -> bool:
        command = journal_pb2.LinkCommand(link=link, is_takeover=is_takeover)
        result = await self._agreement.propose(
            LINK_MACHINE, command.SerializeToString(), timeout
        )
        return journal_pb2.LinkDecision.FromString(result).is_granted


def _key_of(link: journal_pb2.Link) -> _Key:
    return (link.owner, link.incarnation, link.second, link.generation)


def _link_of(key: _Key) -> journal_pb2.Link:
    owner, incarnation, second, generation = key
    return journal_pb2.Link(
        owner=owner, incarnation=incarnation, second=second, generation=generation
    )
