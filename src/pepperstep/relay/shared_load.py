"""Exchange of entry hosts' work at upstreams.

A host sees only its own requests, but a single long prompt can keep an engine busy for
as long as a caller may wait for the first token. Therefore each upstream has an owner
among the entry hosts, to which the other hosts report their work there. A host that
places a prompt asks the owners of a few upstreams. The number of messages depends on a
host's own requests, not on the number of hosts.

If an owner is lost, its successor learns the work from the hosts' next notices.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
import xxhash

from pepperstep.coordination import UpstreamKey
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.keepers import KeyOwners

__all__ = ["REPORT_THRESHOLD_TOKENS", "SharedLoad", "UpstreamWork"]

# Change of the unread tokens at one upstream that is reported at once. An engine needs
# some hundredths of a second to prefill this many.
REPORT_THRESHOLD_TOKENS = 1_000
# Time over which changes are batched before they are reported.
_REPORT_BATCH_SECONDS = 0.005
# Timeout of a query, during which a request waits.
_QUERY_TIMEOUT_SECONDS = 0.03
# Timeout of a report that no request waits for.
_REPORT_TIMEOUT_SECONDS = 0.3
# Reports expire after this time. The prefill of a long prompt takes more than a second
# even on an idle engine.
_REPORT_LIFETIME_SECONDS = 1.5
# Timeout of the first notice to a new owner, and the pause before the next new owner,
# which staggers the connections of hosts that start together.
_CONNECT_TIMEOUT_SECONDS = 1.0
_CONNECT_PAUSE_SECONDS = 0.02
# Interval between checks for new owners, and the number of checks that must find the
# same owners before they are connected to: the set keeps changing while hosts start
# together.
_OWNERS_POLL_SECONDS = 0.5
_STABLE_POLLS = 4


@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """Pending work at one upstream."""

    # Prompt tokens that were sent to the upstream and not prefilled yet.
    unread: int = 0
    # In-flight requests.
    requests: int = 0

    def __add__(self, other: "UpstreamWork") -> "UpstreamWork":
        return UpstreamWork(self.unread + other.unread, self.requests + other.requests)


@dataclass(slots=True)
class _Report:
    """The latest report of one host's work at an upstream."""

    number: int
    work: UpstreamWork
    received_at: float


class SharedLoad:
    """Reports this host's work to owners, and serves the work that others report.

    `work_at` returns this host's work at an upstream.
    """

    def __init__(
        self,
        owners: KeyOwners,
        network: PeerNetwork,
        timers: Timers,
        work_at: Callable[[UpstreamKey], UpstreamWork],
    ):
        self._owners = owners
        self._timers = timers
        self._work_at = work_at
        # Reports received from hosts, by upstream and host.
        self._reports: dict[UpstreamKey, dict[str, _Report]] = {}
        # Unread tokens in this host's latest report, by upstream.
        self._last_reported: dict[UpstreamKey, int] = {}
        self._changed: set[UpstreamKey] = set()
        self._has_changed = trio.Event()
        self._sequence = 0
        network.handle(pb.WorkNotice, self._on_notice)

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return the other hosts' work by upstream.

        Upstreams whose owner doesn't answer are omitted.
        """
        found: dict[UpstreamKey, UpstreamWork] = {}

        async def ask_one(upstream: UpstreamKey) -> None:
            others = await self._exchange(upstream, _QUERY_TIMEOUT_SECONDS)
            if others is not None:
                found[upstream] = others

        async with trio.open_nursery() as nursery:
            for upstream in upstreams:
                nursery.start_soon(ask_one, upstream)
        return found

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        """Schedule a report if this host's unread tokens have changed enough."""
        if (
            abs(unread - self._last_reported.get(upstream, 0))
            >= REPORT_THRESHOLD_TOKENS
        ):
            self._changed.add(upstream)
            self._has_changed.set()

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the reports of an upstream that is gone."""
        self._reports.pop(upstream, None)
        self._last_reported.pop(upstream, None)

    async def run(self) -> None:
        """Report changes to the owners until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._connect_to_owners)
            while True:
                await self._has_changed.wait()
                await self._timers.sleep(_REPORT_BATCH_SECONDS)
                changed, self._changed = self._changed, set()
                self._has_changed = trio.Event()
                for upstream in sorted(changed):
                    nursery.start_soon(
                        self._exchange, upstream, _REPORT_TIMEOUT_SECONDS
                    )

    async def _connect_to_owners(self) -> None:
        """Connect to new owners before requests depend on their answers.

        Also drop expired reports that this host holds as an owner, including those of
        upstreams that are gone.
        """
        connected: frozenset[str] = frozenset()
        latest: frozenset[str] = frozenset()
        stable_polls = 0
        async for _ in self._timers.subscribe(_OWNERS_POLL_SECONDS):
            self._drop_expired()
            owners = self._owners.others()
            stable_polls = stable_polls + 1 if owners == latest else 1
            latest = owners
            if stable_polls < _STABLE_POLLS:
                continue
            for owner in sorted(owners - connected, key=self._connect_order):
                await self._owners.ask(owner, pb.WorkNotice(), _CONNECT_TIMEOUT_SECONDS)
                await self._timers.sleep(_CONNECT_PAUSE_SECONDS)
            connected = owners

    def _drop_expired(self) -> None:
        oldest = self._timers.now() - _REPORT_LIFETIME_SECONDS
        for upstream, reports in list(self._reports.items()):
            if all(each.received_at < oldest for each in reports.values()):
                del self._reports[upstream]

    def _connect_order(self, owner: str) -> int:
        """Return a sort key that gives each host a different order of owners."""
        text = f"{self._owners.own_name}>{owner}"
        return xxhash.xxh64_intdigest(text.encode())

    async def _exchange(
        self, upstream: UpstreamKey, timeout: float
    ) -> UpstreamWork | None:
        """Report this host's work at an upstream and return the other hosts' work.

        Return None if the upstream's owner doesn't answer or is backed off.
        """
        owner = self._owners.owner_of(upstream[0])
        if owner is None:
            return None
        notice = self._make_notice(upstream)
        if owner == self._owners.own_name:
            return self._apply_notice(notice, owner)
        reply = await self._owners.ask(owner, notice, timeout)
        return None if reply is None else UpstreamWork(reply.unread, reply.requests)

    def _make_notice(self, upstream: UpstreamKey) -> pb.WorkNotice:
        work = self._work_at(upstream)
        self._last_reported[upstream] = work.unread
        self._sequence += 1
        name, incarnation = upstream
        return pb.WorkNotice(
            upstream=name,
            incarnation=incarnation,
            unread=work.unread,
            requests=work.requests,
            number=self._sequence,
        )

    async def _on_notice(
        self, message: pb.WorkNotice, sender: str
    ) -> pb.WorkNoticeReply:
        others = self._apply_notice(message, sender)
        return pb.WorkNoticeReply(unread=others.unread, requests=others.requests)

    def _apply_notice(self, notice: pb.WorkNotice, sender: str) -> UpstreamWork:
        """Store a host's report and return the other hosts' work.

        A notice without an upstream only opens the connection.
        """
        if not notice.upstream:
            return UpstreamWork()
        reports = self._reports.setdefault((notice.upstream, notice.incarnation), {})
        now = self._timers.now()
        oldest = now - _REPORT_LIFETIME_SECONDS
        for name in [
            name for name, each in reports.items() if each.received_at < oldest
        ]:
            del reports[name]
        known = reports.get(sender)
        if known is None or notice.number > known.number:
            work = UpstreamWork(notice.unread, notice.requests)
            reports[sender] = _Report(notice.number, work, now)
        others = (each.work for name, each in reports.items() if name != sender)
        return sum(others, UpstreamWork())
