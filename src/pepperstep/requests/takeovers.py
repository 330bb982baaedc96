"""What the seconds of links have taken over."""

from collections.abc import Iterable

from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork
from pepperstep.ports.directory import Directory
from pepperstep.proto import journal_pb2

__all__ = ["TakeoverQueries"]

_CALL_TIMEOUT_SECONDS = 1.0


class TakeoverQueries:
    """Asks the seconds that have taken links over for the requests they took.

    A link's second may not have had all of them, as a record was on its way.
    """

    def __init__(self, peers: PeerNetwork, directory: Directory):
        self._peers = peers
        self._directory = directory

    async def ask(self, link: journal_pb2.Link, request_ids: Iterable[str]) -> set[str]:
        """Return those of the requests that went over with the link.

        Those are all, if the second can't tell any more. Raise `Failure` if it
        can't tell yet or doesn't answer.
        """
        wanted = set(request_ids)
        if self._directory.is_gone(link.second, link.second_incarnation):
            return wanted
        message = journal_pb2.ListTaken(link=link, request_ids=wanted)
        answer = await self._peers.call(link.second, message, _CALL_TIMEOUT_SECONDS)
        return self.read(answer, wanted)

    def read(self, answer: journal_pb2.TakenRequests, wanted: set[str]) -> set[str]:
        """Return what an answer says; raise `Failure` if it is to be asked again."""
        if answer.state == journal_pb2.TakenRequests.DECIDING:
            raise Failure(Code.NOT_READY, "The takeover isn't finished.")
        if answer.state == journal_pb2.TakenRequests.UNKNOWN:
            return wanted
        return set(answer.request_ids)
