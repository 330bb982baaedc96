"""Queries which requests a backup host has taken over."""

from collections.abc import Iterable

from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork
from pepperstep.ports.directory import Directory
from pepperstep.proto import journal_pb2

__all__ = ["TakeoverQueries"]

_CALL_TIMEOUT_SECONDS = 1.0


class TakeoverQueries:
    """Asks backup hosts which requests of a link they took over.

    A backup host may lack some requests of a link whose records were still in flight.
    """

    def __init__(self, peers: PeerNetwork, directory: Directory):
        self._peers = peers
        self._directory = directory

    async def ask(self, link: journal_pb2.Link, request_ids: Iterable[str]) -> set[str]:
        """Return those of the requests that were taken over with the link.

        All are returned if the backup host no longer knows. Raise `Failure` if it can't
        tell yet or doesn't answer.
        """
        wanted = set(request_ids)
        if self._directory.is_gone(link.second, link.second_incarnation):
            return wanted
        message = journal_pb2.ListTaken(link=link, request_ids=wanted)
        answer = await self._peers.call(link.second, message, _CALL_TIMEOUT_SECONDS)
        return self.read(answer, wanted)

    def read(self, answer: journal_pb2.TakenRequests, wanted: set[str]) -> set[str]:
        """Return the requests that an answer lists.

        All of `wanted` are returned if the answering host no longer knows the link.
        Raise `Failure` if the takeover is still undecided.
        """
        if answer.state == journal_pb2.TakenRequests.DECIDING:
            raise Failure(Code.NOT_READY, "The takeover isn't finished.")
        if answer.state == journal_pb2.TakenRequests.UNKNOWN:
            return wanted
        return set(answer.request_ids)
