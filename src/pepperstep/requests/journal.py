"""Journal of the requests that this host owns."""

import itertools

import trio
import xxhash
from absl import logging

from pepperstep.entities import Host
from pepperstep.errors import Code, Failure
from pepperstep.ports import Directory, PeerNetwork, Timers
from pepperstep.proto import journal_pb2
from pepperstep.requests.link import JournalLink
from pepperstep.requests.links import LinkDecisions
from pepperstep.requests.run import Run

__all__ = ["Journal", "rank_hosts"]

_RETRY_SECONDS = 0.1
# A second whose link was dropped isn't chosen for this time if others are there.
_AVOID_SECONDS = 5.0


def rank_hosts(hosts: list[Host], key: str) -> list[Host]:
    """Return the hosts in the order in which they serve `key`."""
    return sorted(hosts, key=lambda host: _weight(host.name, key), reverse=True)


class Journal:
    """Keeps each run of this host on a second host in another zone.

    With `is_single` there is no second host and a run is released at once.
    """

    def __init__(
        self,
        host: Host,
        incarnation: int,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        decisions: LinkDecisions,
        is_single: bool = False,
    ):
        self._host = host
        self._incarnation = incarnation
        self._peers = peers
        self._timers = timers
        self._directory = directory
        self._decisions = decisions
        self._is_single = is_single
        self._links: dict[str, JournalLink] = {}
        self._link_of: dict[str, JournalLink] = {}
        self._generations = itertools.count(1)
        self._avoided_until: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def add(self, run: Run) -> None:
        """Start to keep the run on a second host.

        Raise `Failure` with `NOT_READY` if there is none.
        """
        if self._is_single:
            run.release(len(run.tokens), run.outcome is not None)
            return
        link = self._link_to(self._choose_second(run))
        self._link_of[run.id] = link
        link.add(run)

    def mark(self, run: Run, is_urgent: bool = False) -> None:
        """Send what has changed of the run, then release it to readers."""
        if self._is_single:
            run.release(len(run.tokens), run.outcome is not None)
            return
        link = self._link_of.get(run.id)
        if link is not None:
            link.mark(run, is_urgent)
        if run.outcome is not None:
            self._link_of.pop(run.id, None)

    async def hand_over(self) -> None:
        """Ask all seconds to take over what this host owns."""
        for link in list(self._links.values()):
            if not link.is_ended:
                await link.hand_over()

    def _choose_second(self, run: Run) -> Host:
        others = [
            host
            for host in self._directory.entry_hosts()
            if host.name != self._host.name
        ]
        if not others:
            raise Failure(
                Code.NOT_READY, "No second entry host is reachable.", retry_after=1.0
            )
        key = run.request.idempotency_key or run.id
        ranked = rank_hosts(others, key)
        return min(ranked, key=self._distance_as_second)

    def _distance_as_second(self, host: Host) -> tuple[bool, bool, bool]:
        """Order hosts: first those that work, then near ones in other zones."""
        is_avoided = self._avoided_until.get(host.name, 0.0) > self._timers.now()
        is_far = host.region != self._host.region
        return (is_avoided, is_far, host.zone == self._host.zone)

    def _link_to(self, second: Host) -> JournalLink:
        link = self._links.get(second.name)
        if link is not None and not link.is_ended:
            return link
        message = journal_pb2.Link(
            owner=self._host.name,
            incarnation=self._incarnation,
            second=second.name,
            generation=next(self._generations),
        )
        link = JournalLink(
            message, self._peers, self._timers, self._decisions, self._take_back
        )
        self._links[second.name] = link
        self._nursery.start_soon(link.run)
        return link

    def _take_back(self, second: str, runs: list[Run], is_taken: bool) -> None:
        """Lose the runs of an ended link, or give them another second."""
        self._avoided_until[second] = self._timers.now() + _AVOID_SECONDS
        for run in runs:
            self._link_of.pop(run.id, None)
            if is_taken:
                run.lose()
            else:
                self._nursery.start_soon(self._add_again, run)

    async def _add_again(self, run: Run) -> None:
        while True:
            try:
                self.add(run)
            except Failure:
                logging.warning("requests: No second host for %s.", run.id)
                await self._timers.sleep(_RETRY_SECONDS)
            else:
                return


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
