"""Fetches the operators' document when a control host has a newer version.

Control hosts announce new versions in their replies. The changes are requested from one
of them at a time, in parts. So a large table crosses a host's link once and doesn't
delay callers' answers.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.coordination.table_updates import apply_update
from pepperstep.coordination.tables import TableStore
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["FetchSettings", "TableFetcher"]


@dataclass(frozen=True, slots=True)
class FetchSettings:
    """Timing in seconds."""

    # Between the announcement of a version and the first request for it. Control hosts
    # mostly receive it through the log meanwhile.
    delay: float = 0.0
    # For a request and its reply with one part, if the request before was answered, and
    # if not. A part takes longer than the first only over a slow or busy link.
    first_timeout: float = 0.4
    timeout: float = 1.0
    # Pause after a control host failed to answer or sent an unusable update.
    pause: float = 1.0
    # Pause before choosing again while all control hosts are backed off.
    backoff: float = 0.1


@dataclass(frozen=True, slots=True)
class _Partial:
    """The parts of an update received so far."""

    digest: int = 0
    data: bytes = b""


class TableFetcher:
    """Keeps a host's table at the newest version that its control hosts announce.

    `rank` orders the control hosts to ask. It differs between hosts, so that a change
    doesn't load a single control host.
    """

    def __init__(
        self,
        peers: PeerNetwork,
        timers: Timers,
        tables: TableStore,
        rank: Callable[[str], int],
        settings: FetchSettings | None = None,
    ):
        self._peers = peers
        self._timers = timers
        self._tables = tables
        self._rank = rank
        self._settings = settings or FetchSettings()
        self._versions: dict[str, int] = {}
        # Monotonic time until which each control host is skipped.
        self._backoff_until: dict[str, float] = {}
        self._partial = _Partial()
        # Whether the latest request was answered.
        self._is_answered = True
        # Whether an update by steps failed, so that the whole document is needed.
        self._needs_whole = False
        self._newer_version = trio.Event()

    def latest_version_of(self, control_host: str) -> int:
        """Return the latest version announced by a control host, 0 if there is none."""
        return self._versions.get(control_host, 0)

    def record_version(self, control_host: str, version: int) -> None:
        """Record the version that a control host announces."""
        self._versions[control_host] = version
        if version > self._tables.current.version:
            self._newer_version.set()

    def forget(self, control_host: str) -> None:
        """Discard a control host that is no longer polled."""
        self._versions.pop(control_host, None)
        self._backoff_until.pop(control_host, None)

    async def run(self) -> None:
        """Fetch updates until cancelled."""
        while True:
            await self._wait_newer_version()
            control_host = self._choose_control_host()
            if control_host is None:
                await self._timers.sleep(self._settings.backoff)
            else:
                await self._fetch_part(control_host)

    async def _wait_newer_version(self) -> None:
        if self._is_outdated():
            return
        while not self._is_outdated():
            self._newer_version = trio.Event()
            await self._newer_version.wait()
        await self._timers.sleep(self._settings.delay)

    def _is_outdated(self) -> bool:
        current = self._tables.current.version
        return any(version > current for version in self._versions.values())

    def _choose_control_host(self) -> str | None:
        """Return the first control host by rank that has a newer version.

        Those that have failed come last, so that two silent ones don't take turns
        while a third would answer.
        """
        current = self._tables.current.version
        now = self._timers.now()
        candidates = [
            name
            for name, version in self._versions.items()
            if version > current and self._backoff_until.get(name, now) <= now
        ]
        return min(
            candidates,
            key=lambda name: (self._backoff_until.get(name, 0.0), self._rank(name)),
            default=None,
        )

    async def _fetch_part(self, control_host: str) -> None:
        """Request the next part, and apply the update once it's complete."""
        request = pb.TableRequest(
            from_version=0 if self._needs_whole else self._tables.current.version,
            digest=self._partial.digest,
            offset=len(self._partial.data),
        )
        settings = self._settings
        timeout = settings.first_timeout if self._is_answered else settings.timeout
        try:
            part = await self._peers.call(control_host, request, timeout)
        except Failure as failure:
            self._is_answered = False
            logging.info("fetcher: No table from %s: %s", control_host, failure.text)
            self._back_off(control_host)
            return
        self._is_answered = True
        self._backoff_until.pop(control_host, None)
        if not part.data:
            # The control host doesn't have the version that it announced.
            self._versions[control_host] = part.version
            self._back_off(control_host)
            return
        self._append_part(part)
        if len(self._partial.data) >= part.size:
            await self._apply_update(control_host)

    def _back_off(self, control_host: str) -> None:
        self._backoff_until[control_host] = self._timers.now() + self._settings.pause

    def _append_part(self, part: pb.TablePart) -> None:
        partial = self._partial
        is_next = part.digest == partial.digest and part.offset == len(partial.data)
        if part.offset == 0:
            self._partial = _Partial(part.digest, part.data)
        elif is_next:
            self._partial = _Partial(part.digest, partial.data + part.data)
        else:
            self._partial = _Partial()

    async def _apply_update(self, control_host: str) -> None:
        data, self._partial = self._partial.data, _Partial()
        try:
            document = apply_update(self._tables.document, data)
            await self._tables.install_in_steps(document)
        except Failure as failure:
            logging.error("fetcher: Bad update from %s: %s", control_host, failure.text)
            self._needs_whole = True
            self._back_off(control_host)
        else:
            self._needs_whole = False
