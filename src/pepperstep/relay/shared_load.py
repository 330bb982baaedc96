"""What other entry hosts have sent to upstreams, told from each to each.

A host sees its own requests only, and one long prompt keeps an engine busy for as
long as a caller may wait for its first token. So hosts tell each other what they
have sent that isn't read yet, as soon as that changes by enough to matter. An
entry host tells a bounded number of others; for those that it hears nothing of,
it takes their work as equal to what it knows.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
import xxhash
from absl import logging

from pepperstep.coordination import UpstreamKey
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["TOLD_TOKENS", "SharedLoad"]

# Hosts that one host tells at most. With the pause between notices that is 800
# messages of about 100 bytes a second: 80 KB/s where hosts have 5 Mbit/s. Three notices
# a second are expected of 84 long prompts a second at 70 hosts (computed, not run).
_MAX_PEERS = 16
# Change of the unread tokens at one upstream that is told: an engine that reads
# 36 to 68 tokens a millisecond, as those described, is busy for 40 to 80 ms with it.
TOLD_TOKENS = 3_000
# Least time between two notices, in seconds.
_PAUSE_SECONDS = 0.02
# One notice and its answer, in seconds.
_CALL_SECONDS = 0.3
# Time after which what a notice tells is taken as read, in seconds: the longest
# prompts described take 1.3 s with nothing else to do.
_UNREAD_SECONDS = 1.5
# Time for which a host that has told something counts as one whose work is known,
# in seconds: while little changes it tells nothing.
_HEARD_SECONDS = 10.0
# Time for which a host that didn't answer isn't told anything, in seconds.
_REST_SECONDS = 2.0


@dataclass(slots=True)
class _Told:
    """The latest notice of one host."""

    number: int
    unread: dict[UpstreamKey, int]
    heard_at: float


class SharedLoad:
    """Unread tokens of other hosts by upstream, and the telling of this host's own.

    `own` gives this host's unread tokens by upstream, `peers` the other entry hosts.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        timers: Timers,
        own: Callable[[], dict[UpstreamKey, int]],
        peers: Callable[[], Iterable[str]],
    ):
        self._name = name
        self._network = network
        self._timers = timers
        self._own = own
        self._peers = peers
        self._told: dict[str, _Told] = {}
        # What this host has told last.
        self._last: dict[UpstreamKey, int] = {}
        self._changed = trio.Event()
        self._number = 0
        self._resting: dict[str, float] = {}
        network.handle(pb.UnreadNotice, self._on_notice)

    @property
    def heard_count(self) -> int:
        """Hosts whose work is known now, this one excluded."""
        oldest = self._timers.now() - _HEARD_SECONDS
        return sum(told.heard_at >= oldest for told in self._told.values())

    def unread_of(self, upstream: UpstreamKey) -> int:
        """Return the tokens that others have sent to an upstream, as far as known."""
        oldest = self._timers.now() - _UNREAD_SECONDS
        return sum(
            told.unread.get(upstream, 0)
            for told in self._told.values()
            if told.heard_at >= oldest
        )

    def note_change(self, upstream: UpstreamKey, unread: int) -> None:
        """Take in that this host's unread tokens at an upstream have changed."""
        if abs(unread - self._last.get(upstream, 0)) >= TOLD_TOKENS:
            self._changed.set()

    async def run(self) -> None:
        """Tell the others what has changed until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                self._last = self._own()
                self._number += 1
                notice = _notice_of(self._number, self._last)
                for peer in self._chosen_peers():
                    nursery.start_soon(self._tell, peer, notice)
                await self._timers.sleep(_PAUSE_SECONDS)

    def _chosen_peers(self) -> list[str]:
        """Return the hosts that are told: few of many, others for each host."""
        now = self._timers.now()
        peers = [
            peer
            for peer in self._peers()
            if peer != self._name and self._resting.get(peer, 0.0) <= now
        ]
        return sorted(peers, key=self._rank)[:_MAX_PEERS]

    def _rank(self, peer: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name}>{peer}".encode())

    async def _tell(self, peer: str, notice: pb.UnreadNotice) -> None:
        try:
            await self._network.call(peer, notice, _CALL_SECONDS)
        except Failure as failure:
            if self._resting.get(peer, 0.0) <= self._timers.now():
                logging.info("load: %s isn't told for now: %s", peer, failure.text)
            self._resting[peer] = self._timers.now() + _REST_SECONDS

    async def _on_notice(
        self, message: pb.UnreadNotice, sender: str
    ) -> pb.UnreadNoticeReply:
        known = self._told.get(sender)
        now = self._timers.now()
        is_fresh = known is not None and now - known.heard_at < _UNREAD_SECONDS
        if is_fresh and message.number < known.number:
            # It was overtaken.
            return pb.UnreadNoticeReply()
        unread = {
            (each.upstream, each.incarnation): each.tokens for each in message.unread
        }
        self._told[sender] = _Told(message.number, unread, now)
        return pb.UnreadNoticeReply()


def _notice_of(number: int, unread: dict[UpstreamKey, int]) -> pb.UnreadNotice:
    return pb.UnreadNotice(
        number=number,
        unread=[
            pb.UnreadTokens(upstream=name, incarnation=incarnation, tokens=tokens)
            for (name, incarnation), tokens in unread.items()
        ],
    )
