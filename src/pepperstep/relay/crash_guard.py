"""Blocks contents and prompt parts that crash one upstream after the other.

A caller that sends a content again uses a new request id, and may use another host;
other contents may share the part that crashes. So hosts recognise these features by
digest, and tell each other through the control hosts.
"""

from collections.abc import Callable

import trio
from absl import logging

from pepperstep.coordination import SuspectFeatures, UpstreamCatalog, UpstreamKey
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
# Time for which an upstream has to write an answer until its parts are taken for sound.
# A part crashes its upstream when the answer begins.
_SOUND_SECONDS = 0.5
_NO_RUN = 0.0
_SUCCESS_STATUSES = range(200, 300)


class CrashGuard:
    """Tracks the runs that features break, and blocks features with too many.

    `control_hosts` returns the control hosts in reach.
    """

    def __init__(
        self,
        suspects: SuspectFeatures,
        catalog: UpstreamCatalog,
        peers: PeerNetwork,
        timers: Timers,
        control_hosts: Callable[[], list[str]],
    ):
        self._suspects = suspects
        self._catalog = catalog
        self._peers = peers
        self._timers = timers
        self._control_hosts = control_hosts
        # Features that no control host has taken yet.
        self._pending: set[int] = set()
        self._has_pending = trio.Event()
        self._epochs: dict[str, int] = {}
        # For answers that are watched, None unless the guard runs.
        self._nursery: trio.Nursery | None = None

    def check(self, request: RelayedRequest) -> None:
        """Raise `Failure` with `CRASHING_REQUEST` if the request is blocked."""
        seconds = self._blocked_seconds(request)
        if seconds:
            text = "The latest runs of this content have broken their connections."
            if not self._suspects.is_blamed(request.content):
                text = "The latest runs with a part of this prompt have broken off."
            raise Failure(Code.CRASHING_REQUEST, text, retry_after=seconds)

    def is_blocked(self, request: RelayedRequest) -> bool:
        """Whether the request must not be sent to another upstream."""
        return self._blocked_seconds(request) > 0

    def begin(self, request: RelayedRequest) -> None:
        """Keep what is known of a run's features, and announce a trial."""
        request.suspicions = {}
        request.begun_at = _NO_RUN
        if self._suspects.is_empty:
            return
        for feature in request.features:
            suspicion = self._suspects.suspicion_of(feature)
            if suspicion != NO_SUSPICION:
                request.suspicions[feature] = suspicion
            if self._suspects.record_trial(feature):
                self._queue_notice(feature)

    def record_first_byte(self, request: RelayedRequest) -> None:
        """Record that an upstream writes an answer."""
        is_success = request.upstream_status in _SUCCESS_STATUSES
        if not is_success or request.begun_at != _NO_RUN:
            return
        request.begun_at = self._timers.now()
        if self._nursery is None or self._suspects.is_empty:
            return
        if any(self._suspects.losses_of(part) for part in request.parts):
            self._nursery.start_soon(self._watch_answer, request, request.begun_at)

    def record_loss(self, request: RelayedRequest) -> None:
        """Record that a run ended with a broken connection.

        An upstream that has announced its end may end with runs, whatever they are.
        """
        upstream = request.choice.upstream
        known = self._catalog.get(upstream.id)
        if known is not None and known.key == upstream.key and not known.takes_work:
            return
        features = request.features
        if self._has_shown_sound(request):
            features = (request.content,)
        lost = [each for each in features if self._lose(request, each)]
        for feature in lost:
            self._queue_notice(feature)
            if feature == request.content or self._suspects.is_blamed(feature):
                self._log_suspect(request, feature)

    def record_answer(self, request: RelayedRequest) -> None:
        """Record that an upstream has run a request and is still there."""
        if self._suspects.is_empty:
            return
        if self._suspects.record_answer(request.content):
            self._queue_notice(request.content)
        self._record_sound(request)

    def end(self, request: RelayedRequest) -> None:
        """Record that an attempt has ended, however it did."""
        request.begun_at = _NO_RUN

    def record_alive(self, upstream: UpstreamKey, sent_at: float) -> None:
        """Record that an upstream answers a request sent at a monotonic time."""
        for feature in self._suspects.record_alive(upstream, sent_at):
            self._queue_notice(feature)

    def record_epoch(self, control_host: str, epoch: int) -> None:
        """Send a control host that has just started all that this host knows."""
        if self._epochs.get(control_host) == epoch:
            return
        self._epochs[control_host] = epoch
        for feature in self._suspects.digests():
            self._queue_notice(feature)

    async def run(self) -> None:
        """Send notices, and take parts for sound, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            try:
                await self._send_notices()
            finally:
                self._nursery = None

    async def _send_notices(self) -> None:
        while True:
            await self._has_pending.wait()
            pending, self._pending = self._pending, set()
            self._has_pending = trio.Event()
            notice = pb.SuspectNotice(
                features=self._suspects.messages_of(sorted(pending))
            )
            if await send_notice(self._peers, self._control_hosts(), notice):
                await self._timers.sleep(_NOTICE_PAUSE_SECONDS)
                continue
            await self._timers.sleep(_NOTICE_RETRY_SECONDS)
            for feature in pending:
                self._queue_notice(feature)

    async def _watch_answer(self, request: RelayedRequest, begun_at: float) -> None:
        """Take a request's parts for sound if its answer goes on for long enough."""
        await self._timers.sleep(_SOUND_SECONDS)
        if request.begun_at == begun_at:
            self._record_sound(request)

    def _has_shown_sound(self, request: RelayedRequest) -> bool:
        if request.begun_at == _NO_RUN:
            return False
        return self._timers.now() - request.begun_at >= _SOUND_SECONDS

    def _record_sound(self, request: RelayedRequest) -> None:
        """Excuse the losses of a run's parts that came before its answer began."""
        if request.begun_at == _NO_RUN:
            return
        for part in request.parts:
            if self._suspects.record_answer(part, request.begun_at):
                self._queue_notice(part)

    def _lose(self, request: RelayedRequest, feature: int) -> bool:
        """Record a loss of a feature; return False if that changes nothing."""
        suspicion = request.suspicions.get(feature, NO_SUSPICION)
        upstream = request.choice.upstream.key
        return self._suspects.record_loss(feature, upstream, suspicion)

    def _log_suspect(self, request: RelayedRequest, feature: int) -> None:
        event = ContentSuspected(
            content=f"{feature:016x}",
            is_part=feature != request.content,
            losses=self._suspects.losses_of(feature),
            blocked_ms=round(1000 * self._suspects.blocked_seconds(feature)),
            request=request.name,
            upstream=request.choice.upstream.id,
            service=request.service.name,
        )
        logging.info("crashes: %s", event)

    def _blocked_seconds(self, request: RelayedRequest) -> float:
        if self._suspects.is_empty:
            return 0.0
        return self._suspects.blocked_seconds(*request.features)

    def _queue_notice(self, feature: int) -> None:
        self._pending.add(feature)
        self._has_pending.set()
