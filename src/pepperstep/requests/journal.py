"""Replicates the requests that this host owns to backup hosts."""

import itertools
from collections.abc import Callable

import trio
import xxhash
from absl import logging

from pepperstep.entities import Host
from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.proto import journal_pb2
from pepperstep.requests.link import JournalLink
from pepperstep.requests.links import LinkDecisions
from pepperstep.requests.run import Run
from pepperstep.requests.takeovers import TakeoverQueries

__all__ = ["Journal", "rank_hosts"]

_RETRY_DELAY_SECONDS = 0.1
_DECISION_TIMEOUT_SECONDS = 2.0
_FORGET_TIMEOUT_SECONDS = 1.0
_CHECK_INTERVAL_SECONDS = 0.25
# A backup host whose link ended isn't chosen again for this time if there are others.
_AVOIDANCE_SECONDS = 5.0
# Few backup hosts make full batches; more than one spreads the load of a takeover.
_MAX_BACKUP_HOSTS = 2

# Called with a link that its backup host has taken over, and the runs lost with it.
OnTaken = Callable[[journal_pb2.Link, list[Run]], None]


def rank_hosts(hosts: list[Host], key: str) -> list[Host]:
    """Return the hosts in rendezvous hashing order for `key`."""
    return sorted(
        hosts, key=lambda host: _rendezvous_weight(host.name, key), reverse=True
    )


class Journal:
    """Keeps each run of this host on a backup host, in another zone if possible.

    With `is_single` there is no backup host and changes are released at once.
    """

    def __init__(
        self,
        host: Host,
        incarnation: int,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        decisions: LinkDecisions,
        takeovers: TakeoverQueries,
        is_single: bool = False,
        on_taken: OnTaken = lambda link, runs: None,
    ):
        self._host = host
        self._incarnation = incarnation
        self._peers = peers
        self._timers = timers
        self._directory = directory
        self._decisions = decisions
        self._takeovers = takeovers
        self._is_single = is_single
        self._on_taken = on_taken
        self._links: dict[str, JournalLink] = {}
        self._link_by_request: dict[str, JournalLink] = {}
        self._generations = itertools.count(1)
        self._avoided_until: dict[str, float] = {}
        # Backup hosts for new runs, empty until chosen.
        self._backup_hosts: list[Host] = []
        self._nursery: trio.Nursery | None = None

    async def run(
        self, nursery: trio.Nursery, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Replicate runs until cancelled; the journal's tasks run in `nursery`."""
        self._nursery = nursery
        task_status.started()
        async for _ in self._timers.subscribe(_CHECK_INTERVAL_SECONDS):
            self._backup_hosts = []
            self._end_links_to_leaving_hosts()

    def add(self, run: Run) -> None:
        """Start replicating the run to a backup host.

        Raise `Failure` with `NOT_READY` if there is none.
        """
        if self._is_single:
            self._release(run)
            return
        link = self._link_to(self._choose_backup(run))
        self._link_by_request[run.id] = link
        link.add(run)

    def back_up_elsewhere(self, prior: journal_pb2.Link, runs: list[Run]) -> None:
        """Record runs at other backup hosts, then have the link `prior` dropped.

        Until the drop, the backup host of `prior` may take over the runs, so a valid
        copy exists at all times.
        """
        self._add_prior_link(prior, runs)
        self._nursery.start_soon(self._move_runs, prior, runs)

    def mark_changed(self, run: Run, is_urgent: bool = False) -> None:
        """Replicate the run's changes, then release them to readers."""
        run.version += 1
        if self._is_single:
            self._release(run)
            return
        link = self._link_by_request.get(run.id)
        if link is not None:
            link.mark_changed(run, is_urgent)

    def is_sent(self, run: Run) -> bool:
        """Whether another host may have a copy of the run."""
        link = self._link_by_request.get(run.id)
        is_open = link is not None and link.message.second_incarnation
        return bool(is_open or run.prior_links)

    async def confirm(self, run: Run) -> bool:
        """Return True once the backup host has the run's current state.

        Return False if another host has become the owner or the run was removed.
        """
        self.mark_changed(run, is_urgent=True)
        await run.wait_confirmed()
        return run.is_confirmed and not run.is_lost

    async def record_dispatch(self, run: Run) -> None:
        """Record that the request may reach an upstream from this point.

        For a non-repeatable request, return only once the backup host has recorded the
        dispatch, so that no later owner sends the request again. Raise `Failure` with
        `NOT_READY` if another host owns the request.
        """
        was_dispatched = run.is_dispatched
        run.is_dispatched = True
        if run.request.is_repeatable:
            self.mark_changed(run)
            return
        is_confirmed = False
        try:
            is_confirmed = await self.confirm(run)
        finally:
            if not is_confirmed:
                run.is_dispatched = was_dispatched
        if not is_confirmed:
            raise Failure(Code.NOT_READY, "Another host owns the request.")

    def remove(self, run: Run) -> None:
        """Stop replicating a run that ended some time ago."""
        self._remove(run, JournalLink.remove)

    async def hand_over(self) -> None:
        """Ask all backup hosts to take over this host's requests."""
        async with trio.open_nursery() as nursery:
            for link in list(self._links.values()):
                if not link.is_ended:
                    nursery.start_soon(link.hand_over)

    def _remove(self, run: Run, remove: Callable[[JournalLink, Run], bool]) -> None:
        run.stop_backup()
        link = self._link_by_request.get(run.id)
        # The link may already replicate a newer run of the same request.
        if link is not None and remove(link, run):
            del self._link_by_request[run.id]

    def _release(self, run: Run) -> None:
        run.acknowledge(len(run.tokens), run.outcome is not None, run.version)

    def _choose_backup(self, run: Run) -> Host:
        if not self._backup_hosts:
            self._backup_hosts = self._rank_backups()
        return rank_hosts(self._backup_hosts, run.id)[0]

    def _rank_backups(self) -> list[Host]:
        others = [
            host
            for host in self._directory.entry_hosts()
            if host.name != self._host.name
        ]
        if not others:
            raise Failure(
                Code.NOT_READY, "No second entry host is reachable.", retry_after=1.0
            )
        best = min(map(self._backup_preference, others))
        preferred = [host for host in others if self._backup_preference(host) == best]
        return rank_hosts(preferred, self._host.name)[:_MAX_BACKUP_HOSTS]

    def _backup_preference(self, host: Host) -> tuple[bool, bool, bool]:
        """Sort key: hosts not avoided, then same region, then another zone."""
        is_avoided = self._avoided_until.get(host.name, 0.0) > self._timers.now()
        is_other_region = host.region != self._host.region
        return (is_avoided, is_other_region, host.zone == self._host.zone)

    def _link_to(self, backup: Host) -> JournalLink:
        link = self._links.get(backup.name)
        if link is not None and not link.is_ended:
            return link
        message = journal_pb2.Link(
            owner=self._host.name,
            incarnation=self._incarnation,
            second=backup.name,
            generation=next(self._generations),
        )
        link = JournalLink(message, self._peers, self._timers, self._handle_link_end)
        self._links[backup.name] = link
        self._nursery.start_soon(link.run)
        return link

    def _end_links_to_leaving_hosts(self) -> None:
        """End links to hosts that are leaving, if there are others."""
        present = {host.name for host in self._directory.entry_hosts()}
        if not present - {self._host.name}:
            return
        for link in list(self._links.values()):
            if not link.is_ended and link.backup not in present:
                link.end(is_taken=False)

    def _handle_link_end(self, link: JournalLink, is_taken: bool) -> None:
        """Yield the runs of an ended link, or replicate them to another host."""
        self._avoided_until[link.backup] = self._timers.now() + _AVOIDANCE_SECONDS
        self._backup_hosts = []
        runs = link.runs
        for run in runs:
            if self._link_by_request.get(run.id) is link:
                del self._link_by_request[run.id]
        if not link.message.second_incarnation:
            # The link never opened, so nothing was sent.
            self._nursery.start_soon(self._add_all_with_retry, runs)
        elif is_taken:
            self._add_prior_link(link.message, runs)
            self._nursery.start_soon(self._yield_taken_link, link.message, runs)
        else:
            self.back_up_elsewhere(link.message, runs)

    def _add_prior_link(self, prior: journal_pb2.Link, runs: list[Run]) -> None:
        for run in runs:
            run.add_prior_link(prior, self._timers.now())

    async def _move_runs(self, prior: journal_pb2.Link, runs: list[Run]) -> None:
        await self._add_all_with_retry(runs)
        for run in runs:
            await run.wait_recorded()
        is_dropped = await self._drop(prior)
        remaining_runs = (
            runs if is_dropped else await self._yield_taken_runs(prior, runs)
        )
        for run in remaining_runs:
            run.remove_prior_link(prior)
        if is_dropped:
            await self._notify_dropped(prior)

    async def _yield_taken_link(self, prior: journal_pb2.Link, runs: list[Run]) -> None:
        """Yield the runs that the backup host has taken over with `prior`."""
        remaining_runs = await self._yield_taken_runs(prior, runs)
        await self._add_all_with_retry(remaining_runs)
        for run in remaining_runs:
            run.remove_prior_link(prior)

    async def _yield_taken_runs(
        self, link: journal_pb2.Link, runs: list[Run]
    ) -> list[Run]:
        """Yield the runs that the backup host has taken over; return the others."""
        while True:
            try:
                taken_ids = await self._takeovers.ask(link, (run.id for run in runs))
            except Failure:
                await self._timers.sleep(_RETRY_DELAY_SECONDS)
            else:
                break
        self._yield_runs(link, [run for run in runs if run.id in taken_ids])
        return [run for run in runs if run.id not in taken_ids]

    async def _add_all_with_retry(self, runs: list[Run]) -> None:
        for run in runs:
            await self._add_with_retry(run)

    async def _add_with_retry(self, run: Run) -> None:
        while run.is_backup_needed and not run.is_lost:
            try:
                self.add(run)
            except Failure:
                logging.warning("requests: No backup host available for %s.", run.id)
                await self._timers.sleep(_RETRY_DELAY_SECONDS)
            else:
                return

    async def _drop(self, link: journal_pb2.Link) -> bool:
        """Return whether the log dropped the link, once that is known."""
        while True:
            try:
                is_granted = await self._decisions.drop(link, _DECISION_TIMEOUT_SECONDS)
            except Failure as failure:
                if failure.code is not Code.NO_QUORUM:
                    raise
                logging.warning("requests: No quorum to drop a link; retrying.")
                await self._timers.sleep(_RETRY_DELAY_SECONDS)
            else:
                logging.info(
                    "requests: Drop of the link to %s granted: %s.",
                    link.second,
                    is_granted,
                )
                return is_granted

    async def _notify_dropped(self, link: journal_pb2.Link) -> None:
        try:
            await self._peers.call(
                link.second, journal_pb2.ForgetLink(link=link), _FORGET_TIMEOUT_SECONDS
            )
        except Failure:
            logging.debug(
                "requests: %s didn't receive the drop of its link.", link.second
            )

    def _yield_runs(self, link: journal_pb2.Link, runs: list[Run]) -> None:
        """Mark runs as lost to the backup host that has taken over their link."""
        runs = [run for run in runs if not run.is_lost]
        for run in runs:
            self._remove(run, JournalLink.forget)
            run.prior_links = [prior for prior in run.prior_links if prior != link]
            run.mark_lost(link.second)
        if runs:
            self._on_taken(link, runs)


def _rendezvous_weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
