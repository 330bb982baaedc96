"""Losses and runs of contents, as known by the host that decides on them.

For each content, the upstreams it has ended and the distinct upstreams that run it are
never more than two together, so no content can end a third one.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from pepperstep.entities import Request, RequestKind, Upstream
from pepperstep.proto import verdicts_pb2

__all__ = ["SuspectTracker", "content_hash", "incarnation_id"]

# Distinct upstreams that a content may end before it is blocked.
_BLOCKING_LOSSES = 2
# A content that was answered completely isn't restricted for this time.
_ANSWERED_EXEMPTION_SECONDS = 600.0
_LOSS_RETENTION_SECONDS = 600.0
_RESERVATION_SECONDS = 3.0
# Time for a new owner to report what became of a run whose owner is gone.
_ORPHANED_RUN_SECONDS = 5.0
_MAX_CONTENTS = 100_000


def content_hash(request: Request) -> str:
    """Return a hash of everything that may make an upstream crash.

    Id, key, seed, length and priority are left out, because a caller changes them when
    it sends the same content again. Adapter and version are left out because the same
    engines serve them.
    """
    if request.kind is RequestKind.SERVICE:
        head = f"service\0{request.target}\0{request.method}\0{request.path}\0"
        return xxhash.xxh3_128_hexdigest(head.encode() + request.body)
    text = f"engine\0{request.model_key.model}\0{request.prompt}"
    return xxhash.xxh3_128_hexdigest(text.encode())


def incarnation_id(upstream: Upstream) -> str:
    """Return an id for one incarnation of an upstream, NAME/EPOCH."""
    return f"{upstream.name}/{upstream.epoch}"


@dataclass(slots=True)
class _GrantedRun:
    """A run that was admitted and hasn't ended."""

    owner: str
    incarnation: int
    serial: int
    upstream: str
    zone: str
    until: float


@dataclass(slots=True)
class _Content:
    """Losses and runs of one content."""

    # Unix time of each loss, by upstream incarnation.
    losses: dict[str, float] = field(default_factory=dict)
    runs: dict[str, _GrantedRun] = field(default_factory=dict)
    # Losses that the content survived: a later run passed the position at which the
    # upstream was lost. If there are any, each run of the content stays isolated until
    # it ends.
    survived_losses: dict[str, float] = field(default_factory=dict)
    # Losses that block the content; one more if another suspect shared the upstream of
    # one of them.
    blocking_losses: int = _BLOCKING_LOSSES
    answered_until: float = 0.0


class SuspectTracker:
    """Contents that this host decides on, or tracks for the deciding host.

    `is_gone` tells whether a run's owner has ended; times are Unix seconds.
    """

    def __init__(
        self, is_gone: Callable[[str, int], bool], verdict_seconds: float = 600.0
    ):
        self._is_gone = is_gone
        self._verdict_seconds = verdict_seconds
        self._contents: OrderedDict[str, _Content] = OrderedDict()
        self._verdicts: dict[str, verdicts_pb2.Verdict] = {}
        # Upstreams whose loss has another cause, and until when that is remembered.
        self._ignored_losses: dict[str, float] = {}
        # Request that reserved an upstream, and the end of the reservation.
        self._reservations: dict[str, tuple[str, float]] = {}

    def active_verdict(self, content: str, now: float) -> verdicts_pb2.Verdict | None:
        """Return the verdict that blocks a content, or None."""
        verdict = self._verdicts.get(content)
        return verdict if verdict is not None and verdict.until > now else None

    def admit(
        self, message: verdicts_pb2.RunContent, owner: str, now: float
    ) -> verdicts_pb2.RunAnswer:
        """Decide whether a run may start, and record it if so."""
        verdict = self.active_verdict(message.content, now)
        if verdict is not None:
            return _answer(verdicts_pb2.PERMISSION_REFUSED, verdict=verdict)
        content = self._content(message.content)
        self._import_losses(content, message.lost, now)
        self._prune(content, now)
        if not message.is_decided and len(content.losses) >= content.blocking_losses:
            # These losses were tracked for a deciding host that has ended since.
            verdict = self._block(message.content, content, now)
            return _answer(verdicts_pb2.PERMISSION_REFUSED, verdict=verdict)
        content.runs.pop(message.request_id, None)
        answer = self._permit(content, message, now)
        if answer.permission == verdicts_pb2.PERMISSION_GRANTED:
            content.runs[message.request_id] = _GrantedRun(
                owner,
                message.incarnation,
                message.serial,
                message.upstream,
                message.zone,
                message.until,
            )
        return answer

    def record_end(self, ended: verdicts_pb2.EndedRun, owner: str, now: float) -> None:
        """Record how a run ended, or that it passed the position of its loss."""
        content = self._contents.get(ended.content)
        if content is None:
            return
        if ended.end == verdicts_pb2.RUN_END_PASSED:
            content.survived_losses |= content.losses
            content.losses.clear()
            return
        run = content.runs.get(ended.request_id)
        if run is not None and (run.owner, run.serial) == (owner, ended.serial):
            del content.runs[ended.request_id]
        if ended.end == verdicts_pb2.RUN_END_ANSWERED:
            content.losses.clear()
            content.survived_losses.clear()
            content.blocking_losses = _BLOCKING_LOSSES
            content.answered_until = now + _ANSWERED_EXEMPTION_SECONDS

    def report_loss(
        self, message: verdicts_pb2.ReportLoss, now: float
    ) -> verdicts_pb2.LossAnswer:
        """Count a loss against a content; block the content after enough of them."""
        verdict = self.active_verdict(message.content, now)
        if verdict is not None:
            return verdicts_pb2.LossAnswer(verdict=verdict)
        content = self._content(message.content)
        content.runs.pop(message.request_id, None)
        self._prune(content, now)
        if self._has_other_cause(content, message, now):
            return verdicts_pb2.LossAnswer()
        for request_id, run in list(content.runs.items()):
            if run.upstream == message.upstream:
                del content.runs[request_id]
        content.losses[message.upstream] = now
        content.answered_until = 0.0
        if message.is_shared:
            content.blocking_losses = _BLOCKING_LOSSES + 1
        if message.is_decided or len(content.losses) < content.blocking_losses:
            return verdicts_pb2.LossAnswer(is_counted=True)
        verdict = self._block(message.content, content, now)
        return verdicts_pb2.LossAnswer(is_counted=True, verdict=verdict)

    def add_verdict(self, verdict: verdicts_pb2.Verdict, now: float) -> None:
        """Store a verdict; its upstreams no longer count against other contents."""
        self._verdicts[verdict.content] = verdict
        self.ignore_losses(verdict.upstreams, now)
        for key in [k for k, v in self._verdicts.items() if v.until <= now]:
            del self._verdicts[key]

    def ignore_losses(self, upstreams: Iterable[str], now: float) -> None:
        """Count the loss of these upstreams against no content."""
        upstreams = list(upstreams)
        for key in [k for k, until in self._ignored_losses.items() if until <= now]:
            del self._ignored_losses[key]
        for upstream in upstreams:
            self._ignored_losses[upstream] = now + _LOSS_RETENTION_SECONDS
        for content in self._contents.values():
            for upstream in upstreams:
                content.losses.pop(upstream, None)
                content.survived_losses.pop(upstream, None)

    def reserve_upstream(self, message: verdicts_pb2.HoldUpstream, now: float) -> bool:
        """Make a request the only suspect on an upstream for `_RESERVATION_SECONDS`.

        Return whether it is; a release returns False.
        """
        holder_id, until = self._reservations.get(message.upstream, ("", 0.0))
        is_free = until <= now or holder_id == message.request_id
        if message.is_release:
            if holder_id == message.request_id:
                self._reservations.pop(message.upstream, None)
            return False
        if is_free:
            self._reservations[message.upstream] = (
                message.request_id,
                now + _RESERVATION_SECONDS,
            )
        return is_free

    def _permit(
        self, content: _Content, message: verdicts_pb2.RunContent, now: float
    ) -> verdicts_pb2.RunAnswer:
        is_suspect = bool(content.losses or content.survived_losses)
        granted = _answer(
            verdicts_pb2.PERMISSION_GRANTED,
            is_suspect=is_suspect,
            is_strict=bool(content.survived_losses),
        )
        if message.is_decided or content.answered_until > now:
            return granted
        if is_suspect:
            wait = _answer(verdicts_pb2.PERMISSION_WAIT)
            return wait if content.runs else granted
        used = {run.upstream: run.zone for run in content.runs.values()}
        if message.upstream in used or not used:
            return granted
        # The second upstream must be in another zone, so that a zone failure never
        # takes both.
        is_other_zone = message.zone not in used.values()
        if len(used) < _BLOCKING_LOSSES and is_other_zone:
            return granted
        return _answer(verdicts_pb2.PERMISSION_SHARE, upstreams=sorted(used))

    def _import_losses(
        self, content: _Content, upstreams: Iterable[str], now: float
    ) -> None:
        """Add losses that the run remembers and this host may not know."""
        for upstream in upstreams:
            is_known = upstream in self._ignored_losses or content.answered_until > now
            if not is_known and upstream not in content.survived_losses:
                content.losses.setdefault(upstream, now)

    def _has_other_cause(
        self, content: _Content, message: verdicts_pb2.ReportLoss, now: float
    ) -> bool:
        """Whether the upstream was lost for a cause that it shared with others."""
        if self._ignored_losses.get(message.upstream, 0.0) > now:
            return True
        others = set(message.dead_peers) - content.losses.keys()
        return bool(others) and len(others) >= message.live_peers

    def _block(self, key: str, content: _Content, now: float) -> verdicts_pb2.Verdict:
        verdict = verdicts_pb2.Verdict(
            content=key,
            until=now + self._verdict_seconds,
            upstreams=sorted(content.losses),
        )
        self._contents.pop(key, None)
        self.add_verdict(verdict, now)
        return verdict

    def _content(self, key: str) -> _Content:
        content = self._contents.setdefault(key, _Content())
        self._contents.move_to_end(key)
        if len(self._contents) > _MAX_CONTENTS:
            self._contents.popitem(last=False)
        return content

    def _prune(self, content: _Content, now: float) -> None:
        for request_id, run in list(content.runs.items()):
            if self._is_gone(run.owner, run.incarnation):
                run.until = min(run.until, now + _ORPHANED_RUN_SECONDS)
            if run.until <= now:
                del content.runs[request_id]
        for upstream, lost_at in list(content.losses.items()):
            if now - lost_at > _LOSS_RETENTION_SECONDS:
                del content.losses[upstream]


def _answer(permission: int, **values) -> verdicts_pb2.RunAnswer:
    return verdicts_pb2.RunAnswer(permission=permission, **values)
