"""Blocks contents that crash one upstream after the other.

A caller that sends a content again uses a new request id, and may use another host. So
hosts recognise contents by digest, and tell each other through the control hosts.
"""

from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination import SuspectContents, UpstreamKey
from pepperstep.coordination.suspects import NO_SUSPICION
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import ContentSuspected
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay.notices import send_notice
from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["CrashGuard"]

# Pause between two rounds of notices. Many runs break at once when an upstream fails.
_NOTICE_PAUSE_SECONDS = 0.05
_NOTICE_RETRY_SECONDS = 0.5


class CrashGuard:
    """Tracks the runs that contents break, and blocks contents with too many.

    `control_hosts` returns the control hosts in reach.
    """

    def __init__(
        self,
        suspects: SuspectContents,
        peers: PeerNetwork,
        timers: Timers,
        control_hosts: Callable[[], list[str]],
    ):
        self._suspects = suspects
        self._peers = peers
        self._timers = timers
        self._control_hosts = control_hosts
        # Contents that no control host has taken yet.
        self._pending: set[int] = set()
        self._has_pending = trio.Event()
        self._epochs: dict[str, int] = {}

    def check(self, request: RelayedRequest) -> None:
        """Raise `Failure` with `CRASHING_REQUEST` if the request is blocked."""
        seconds = self._blocked_seconds(request)
        if seconds:
            text = "The latest runs of this content have broken their connections."
            raise Failure(Code.CRASHING_REQUEST, text, retry_after=seconds)

    def is_blocked(self, request: RelayedRequest) -> bool:
        """Whether the request must not be sent to another upstream."""
        return self._blocked_seconds(request) > 0

    def begin(self, request: RelayedRequest) -> None:
        """Keep what is known of the content when a run begins, and announce a trial."""
        request.suspicion = NO_SUSPICION
        if not self._suspects.is_empty:
            request.suspicion = self._suspects.suspicion_of(request.content)
            if self._suspects.record_trial(request.content):
                self._queue_notice(request.content)

    def record_loss(self, request: RelayedRequest) -> None:
        """Record that a run ended with a broken connection."""
        content, upstream = request.content, request.choice.upstream.key
        if not self._suspects.record_loss(content, upstream, request.suspicion):
            return
        self._queue_notice(content)
        event = ContentSuspected(
            content=f"{content:016x}",
            losses=self._suspects.losses_of(content),
            blocked_ms=round(1000 * self._suspects.blocked_seconds(content)),
            request=request.name,
            upstream=request.choice.upstream.id,
            service=request.service.name,
        )
        logging.info("crashes: %s", event)

    def record_answer(self, request: RelayedRequest) -> None:
        """Record that an upstream has run a request and is still there."""
        if self._suspects.is_empty:
            return
        if self._suspects.record_answer(request.content):
            self._queue_notice(request.content)

    def record_alive(self, upstream: UpstreamKey, sent_at: float) -> None:
        """Record that an upstream answers a request sent at a monotonic time."""
        for content in self._suspects.record_alive(upstream, sent_at):
            self._queue_notice(content)

    def record_epoch(self, control_host: str, epoch: int) -> None:
        """Send a control host that has just started all that this host knows."""
        if self._epochs.get(control_host) == epoch:
            return
        self._epochs[control_host] = epoch
        for content in self._suspects.digests():
            self._queue_notice(content)

    async def run(self) -> None:
        """Send notices to the control hosts until cancelled."""
        while True:
            await self._has_pending.wait()
            pending, self._pending = self._pending, set()
            self._has_pending = trio.Event()
            notice = pb.SuspectNotice(
                contents=self._suspects.messages_of(sorted(pending))
            )
            if await send_notice(self._peers, self._control_hosts(), notice):
                await self._timers.sleep(_NOTICE_PAUSE_SECONDS)
                continue
            await self._timers.sleep(_NOTICE_RETRY_SECONDS)
            for content in pending:
                self._queue_notice(content)

    def _blocked_seconds(self, request: RelayedRequest) -> float:
        if self._suspects.is_empty:
            return 0.0
        return self._suspects.blocked_seconds(request.content)

    def _queue_notice(self, content: int) -> None:
        self._pending.add(content)
        self._has_pending.set()
