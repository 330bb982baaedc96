"""All entry hosts' work at upstreams, kept by a few of them for all.

A host sees its own requests only, and one long prompt keeps an engine busy for as
long as a caller may wait for its first token. So each upstream has a keeper, an entry
host which the others tell what they have sent there. A host that places a prompt asks
the keepers of the few upstreams that it weighs. Messages grow with a host's own
requests, whatever the number of hosts.

What a keeper that is lost has known is told to the next one by the hosts' following
notices.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
import xxhash

from pepperstep.coordination import UpstreamKey
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.keepers import KeyOwners

__all__ = ["TOLD_TOKENS", "SharedLoad", "UpstreamWork"]

# Change of the unread tokens at one upstream that is told without a question. An
# engine is busy with it for some hundredths of a second.
TOLD_TOKENS = 1_000
# Time in which changes are put together before they are told, in seconds.
_PAUSE_SECONDS = 0.005
# Time that a keeper has for its answer while a request waits, in seconds.
_ASK_SECONDS = 0.03
# The same where nothing waits for it.
_TELL_SECONDS = 0.3
# Time after which what a notice tells is taken as over, in seconds: long prompts take
# a second and more with nothing else to do.
_VALID_SECONDS = 1.5
# Time that a new keeper has to answer a first notice, in seconds, and the pause between
# two new ones: hosts that start together connect one after the other.
_GREET_SECONDS = 1.0
_GREET_PAUSE_SECONDS = 0.02
# Between looks for new keepers, in seconds, and looks that have to find the same ones
# before they are greeted: while hosts start together, others are named each time.
_LOOK_SECONDS = 0.5
_SAME_LOOKS = 4


@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """Work at one upstream."""

    # Prompt tokens that it was sent and hasn't read.
    unread: int = 0
    # Requests that it works on.
    requests: int = 0

    def __add__(self, other: "UpstreamWork") -> "UpstreamWork":
        return UpstreamWork(self.unread + other.unread, self.requests + other.requests)


@dataclass(slots=True)
class _Told:
    """What one host has told last of its work at an upstream."""

    number: int
    work: UpstreamWork
    heard_at: float


class SharedLoad:
    """Work of all hosts, as asked for at keepers and kept for others.

    `own` gives this host's work at an upstream.
    """

    def __init__(
        self,
        keepers: KeyOwners,
        network: PeerNetwork,
        timers: Timers,
        own: Callable[[UpstreamKey], UpstreamWork],
    ):
        self._keepers = keepers
        self._timers = timers
        self._own = own
        # What hosts have told this one, by upstream and host.
        self._kept: dict[UpstreamKey, dict[str, _Told]] = {}
        # Unread tokens that this host has told last.
        self._last: dict[UpstreamKey, int] = {}
        self._changed: set[UpstreamKey] = set()
        self._has_changed = trio.Event()
        self._number = 0
        network.handle(pb.WorkNotice, self._on_notice)

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return the other hosts' work at upstreams.

        Upstreams whose keeper doesn't answer are left out.
        """
        found: dict[UpstreamKey, UpstreamWork] = {}

        async def ask_one(upstream: UpstreamKey) -> None:
            others = await self._exchange(upstream, _ASK_SECONDS)
            if others is not None:
                found[upstream] = others

        async with trio.open_nursery() as nursery:
            for upstream in upstreams:
                nursery.start_soon(ask_one, upstream)
        return found

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        """Take in that this host's unread tokens at an upstream have changed."""
        if abs(unread - self._last.get(upstream, 0)) >= TOLD_TOKENS:
            self._changed.add(upstream)
            self._has_changed.set()

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an upstream that is gone."""
        self._kept.pop(upstream, None)
        self._last.pop(upstream, None)

    async def run(self) -> None:
        """Tell keepers what has changed until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_keepers)
            while True:
                await self._has_changed.wait()
                await self._timers.sleep(_PAUSE_SECONDS)
                changed, self._changed = self._changed, set()
                self._has_changed = trio.Event()
                for upstream in sorted(changed):
                    nursery.start_soon(self._exchange, upstream, _TELL_SECONDS)

    async def _watch_keepers(self) -> None:
        """Connect to keepers before requests wait for their answers.

        As one of them, drop what is over, also of upstreams that are gone.
        """
        greeted: frozenset[str] = frozenset()
        latest: frozenset[str] = frozenset()
        same_looks = 0
        async for _ in self._timers.subscribe(_LOOK_SECONDS):
            self._drop_over()
            keepers = self._keepers.others()
            same_looks = same_looks + 1 if keepers == latest else 1
            latest = keepers
            if same_looks < _SAME_LOOKS:
                continue
            for keeper in sorted(keepers - greeted, key=self._order):
                await self._keepers.ask(keeper, pb.WorkNotice(), _GREET_SECONDS)
                await self._timers.sleep(_GREET_PAUSE_SECONDS)
            greeted = keepers

    def _drop_over(self) -> None:
        oldest = self._timers.now() - _VALID_SECONDS
        for upstream, told in list(self._kept.items()):
            if all(each.heard_at < oldest for each in told.values()):
                del self._kept[upstream]

    def _order(self, keeper: str) -> int:
        """Return a number that orders keepers otherwise on each host."""
        text = f"{self._keepers.own_name}>{keeper}"
        return xxhash.xxh64_intdigest(text.encode())

    async def _exchange(
        self, upstream: UpstreamKey, timeout: float
    ) -> UpstreamWork | None:
        """Tell this host's work at an upstream, and return the others'.

        None if its keeper doesn't answer, or didn't a moment ago.
        """
        keeper = self._keepers.keeper_of(upstream[0])
        if keeper is None:
            return None
        notice = self._make_notice(upstream)
        if keeper == self._keepers.own_name:
            return self._keep(notice, keeper)
        reply = await self._keepers.ask(keeper, notice, timeout)
        return None if reply is None else UpstreamWork(reply.unread, reply.requests)

    def _make_notice(self, upstream: UpstreamKey) -> pb.WorkNotice:
        own = self._own(upstream)
        self._last[upstream] = own.unread
        self._number += 1
        name, incarnation = upstream
        return pb.WorkNotice(
            upstream=name,
            incarnation=incarnation,
            unread=own.unread,
            requests=own.requests,
            number=self._number,
        )

    async def _on_notice(
        self, message: pb.WorkNotice, sender: str
    ) -> pb.WorkNoticeReply:
        others = self._keep(message, sender)
        return pb.WorkNoticeReply(unread=others.unread, requests=others.requests)

    def _keep(self, notice: pb.WorkNotice, sender: str) -> UpstreamWork:
        """Take in what a host tells and return the other hosts' work.

        A greeting names no upstream.
        """
        if not notice.upstream:
            return UpstreamWork()
        told = self._kept.setdefault((notice.upstream, notice.incarnation), {})
        now = self._timers.now()
        oldest = now - _VALID_SECONDS
        for name in [name for name, each in told.items() if each.heard_at < oldest]:
            del told[name]
        known = told.get(sender)
        if known is None or notice.number > known.number:
            work = UpstreamWork(notice.unread, notice.requests)
            told[sender] = _Told(notice.number, work, now)
        others = (each.work for name, each in told.items() if name != sender)
        return sum(others, UpstreamWork())
