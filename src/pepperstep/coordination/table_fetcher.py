"""Fetches the operators' document when a control host tells of a newer one.

Control hosts tell each host of new versions; what changed is asked of one of them
at a time, part by part. So a large table crosses a host's link once, and callers'
answers aren't held up behind it.
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
    """Times in seconds."""

    # Between the news of a version and the first question for it: control hosts have
    # it from the log, mostly before they ask.
    delay: float = 0.0
    # One question with a part as its answer.
    timeout: float = 1.0
    # Until a control host is asked again that didn't answer, or whose update can't be
    # used.
    pause: float = 1.0
    # Between looks for a control host to ask, where all are passed over.
    backoff: float = 0.1


@dataclass(frozen=True, slots=True)
class _Partial:
    """What has come of an update."""

    digest: int = 0
    data: bytes = b""


class TableFetcher:
    """Keeps a host's table as new as what its control hosts tell of.

    `rank` gives the order in which control hosts are asked; hosts differ in it, so
    that a change doesn't load one control host with all of them.
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
        self._told: dict[str, int] = {}
        # Time until which a control host is passed over.
        self._passed_until: dict[str, float] = {}
        self._partial = _Partial()
        # Whether steps didn't fit, so that the whole document is asked for.
        self._needs_whole = False
        self._news = trio.Event()

    def told_by(self, control_host: str) -> int:
        """Return the newest version that a control host has told of."""
        return self._told.get(control_host, 0)

    def note_told(self, control_host: str, version: int) -> None:
        """Take in the version that a control host has."""
        self._told[control_host] = version
        if version > self._tables.current.version:
            self._news.set()

    def forget(self, control_host: str) -> None:
        """Drop a control host that isn't asked anything any more."""
        self._told.pop(control_host, None)
        self._passed_until.pop(control_host, None)

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self._wait_news()
            source = self._choose_source()
            if source is None:
                await self._timers.sleep(self._settings.backoff)
            else:
                await self._fetch_part(source)

    async def _wait_news(self) -> None:
        if self._is_behind():
            return
        while not self._is_behind():
            self._news = trio.Event()
            await self._news.wait()
        await self._timers.sleep(self._settings.delay)

    def _is_behind(self) -> bool:
        held = self._tables.current.version
        return any(version > held for version in self._told.values())

    def _choose_source(self) -> str | None:
        """Return the first control host by rank that has something newer."""
        held = self._tables.current.version
        now = self._timers.now()
        newer = [
            name
            for name, version in self._told.items()
            if version > held and self._passed_until.get(name, now) <= now
        ]
        return min(newer, key=self._rank, default=None)

    async def _fetch_part(self, source: str) -> None:
        """Take the next part, and the update once it's whole."""
        request = pb.TableRequest(
            from_version=0 if self._needs_whole else self._tables.current.version,
            digest=self._partial.digest,
            offset=len(self._partial.data),
        )
        try:
            part = await self._peers.call(source, request, self._settings.timeout)
        except Failure as failure:
            logging.info("fetcher: %s gives no routes: %s", source, failure.text)
            self._pass_over(source)
            return
        if not part.data:
            # It has lost what it told of, or never had it.
            self._told[source] = part.version
            self._pass_over(source)
            return
        self._take_part(part)
        if len(self._partial.data) >= part.size:
            await self._take_update(source)

    def _pass_over(self, source: str) -> None:
        self._passed_until[source] = self._timers.now() + self._settings.pause

    def _take_part(self, part: pb.TablePart) -> None:
        partial = self._partial
        is_next = part.digest == partial.digest and part.offset == len(partial.data)
        if part.offset == 0:
            self._partial = _Partial(part.digest, part.data)
        elif is_next:
            self._partial = _Partial(part.digest, partial.data + part.data)
        else:
            self._partial = _Partial()

    async def _take_update(self, source: str) -> None:
        data, self._partial = self._partial.data, _Partial()
        try:
            document = apply_update(self._tables.document, data)
            await self._tables.install_in_steps(document)
        except Failure as failure:
            logging.error("fetcher: An update of %s: %s", source, failure.text)
            self._needs_whole = True
            self._pass_over(source)
        else:
            self._needs_whole = False
