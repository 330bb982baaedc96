"""Daemon of a host that relays requests by the operators' routes.

The platform's settings file lists the host's roles. The daemon is separate from
`pepperstep.daemon`, whose libraries are large, so that a host loads only the modules
that its roles need.
"""

import os
import random
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import trio
from absl import logging

from pepperstep.adapters.files import FolderStorage
from pepperstep.adapters.grpc_peers import GrpcPeers
from pepperstep.adapters.http1 import Http1Connector, Http1Server, MetricsHandler
from pepperstep.adapters.json_line_handler import set_up_json_logging
from pepperstep.adapters.timers import TrioTimers
from pepperstep.entities.routes import CallerLimits
from pepperstep.errors import Failure, InvalidDocument
from pepperstep.observability.relay_metrics import RelayMetrics
from pepperstep.platform import (
    SETTINGS_VARIABLE,
    ControlHandler,
    DirectoryHandler,
    PlatformCloud,
    PlatformWire,
    ReadinessHandler,
    TableDecoder,
    read_platform_settings,
)
from pepperstep.ports.exchange import ExchangeHandler
from pepperstep.programs.draining import DIRECTORY_SECONDS, Drain, DrainSchedule
from pepperstep.programs.relay_ports import RelayPorts
from pepperstep.programs.relay_settings import RelaySettings
from pepperstep.stop_signals import StopSignals

if TYPE_CHECKING:
    from pepperstep.programs.control_host import ControlHost
    from pepperstep.programs.entry_host import EntryHost

__all__ = ["main"]

_CHECK = "--check"

EXIT_SETTINGS = 2
EXIT_LISTEN = 3
EXIT_STORAGE = 4

# Port of the metrics endpoint of both roles, on the host's peer address.
METRICS_PORT = 9464

# Limits on operators' documents.
_OPERATOR_LIMITS = CallerLimits(body_bytes=32 * 1024 * 1024)


def main(arguments: Sequence[str] = ()) -> None:
    """Run the daemon until a stop signal; with --check, only validate the settings."""
    settings = _read_settings()
    if _CHECK in arguments:
        print("The settings are valid.")
        return
    set_up_json_logging(settings.host)
    try:
        trio.run(_run, settings)
    except* OSError as errors:
        _exit_with_error(EXIT_LISTEN, f"{_innermost_error(errors)}")
    except* Failure as errors:
        _exit_with_error(EXIT_STORAGE, f"{_innermost_error(errors)}")


def _read_settings() -> RelaySettings:
    name = os.environ.get(SETTINGS_VARIABLE, "")
    if not name:
        _exit_with_error(
            EXIT_SETTINGS, f"{SETTINGS_VARIABLE} doesn't name the settings file."
        )
    try:
        return read_platform_settings(Path(name))
    except InvalidDocument as error:
        _exit_with_error(EXIT_SETTINGS, error.text)
    except OSError as error:
        _exit_with_error(EXIT_SETTINGS, f"The settings can't be read: {error}")


def _innermost_error(error: BaseException) -> BaseException:
    """Return the first error inside the exception groups that nurseries add."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _exit_with_error(code: int, text: str) -> None:
    print(f"pepperstepd: {text}", file=sys.stderr)
    sys.exit(code)


async def _run(settings: RelaySettings) -> None:
    rng = random.Random(random.SystemRandom().getrandbits(64))
    timers = TrioTimers(rng)
    peers = GrpcPeers(settings.peer_address, settings.peer_address)
    connector = Http1Connector(timers.now)
    decoder = TableDecoder()
    storage = cloud = None
    if settings.control is not None:
        storage = FolderStorage(Path(settings.control.data_folder))
        if settings.cloud_address:
            cloud = PlatformCloud(settings.cloud_address, connector, timers)
    ports = RelayPorts(
        timers=timers,
        peers=peers,
        rng=rng,
        decode=decoder.decode_in_steps,
        connector=connector,
        wire=PlatformWire(),
        storage=storage,
        ledger=cloud,
        orders=cloud,
    )
    logging.info(
        "daemon: Starting host %s, peer address %s.",
        settings.host,
        settings.peer_address,
    )
    stop = StopSignals(timers.now)
    async with trio.open_nursery() as watching:
        await watching.start(stop.watch)
        async with trio.open_nursery() as nursery:
            roles = _Roles(settings, ports, decoder, nursery)
            await _start_unless_stopped(roles, peers, stop)
            await roles.drain(await stop.wait())
            logging.info("daemon: Stopping.")
            # Nothing is left to finish. The interpreter's own end waits for the
            # threads of libraries, possibly beyond the grace period.
            os._exit(0)


async def _start_unless_stopped(
    roles: "_Roles", peers: GrpcPeers, stop: StopSignals
) -> None:
    """Start all parts; give up what hasn't started yet once a stop is asked for."""

    async def cancel_at_stop() -> None:
        await stop.wait()
        starting.cancel_scope.cancel()

    async with trio.open_nursery() as starting:
        starting.start_soon(cancel_at_stop)
        await roles.start(peers)
        starting.cancel_scope.cancel()


class _Roles:
    """The host's roles, with the servers through which others reach them.

    Each runs in `nursery` until that is cancelled.
    """

    def __init__(
        self,
        settings: RelaySettings,
        ports: RelayPorts,
        decoder: TableDecoder,
        nursery: trio.Nursery,
    ):
        self._settings = settings
        self._ports = ports
        self._decoder = decoder
        self._nursery = nursery
        self._servers: list[Http1Server] = []
        self._entry: EntryHost | None = None
        self._control: ControlHost | None = None
        # Answer what is in progress when a stopping host's time is over.
        self._end_actions: list[Callable[[], None]] = []
        # Whether the entry host has started, after which callers learn its address.
        self._serves_callers = False

    async def start(self, peers: GrpcPeers) -> None:
        """Start the roles, control first; raise OSError if an address is taken."""
        await self._nursery.start(peers.serve)
        if self._settings.control is not None:
            self._control = _make_control(self._settings, self._ports)
            await self._start_control(self._control)
        if self._settings.entry is not None:
            self._entry = _make_entry(self._settings, self._ports)
            await self._start_entry(self._entry)
        for host in filter(None, (self._entry, self._control)):
            await self._start_metrics(host.metrics)

    async def drain(self, started_at: float) -> None:
        """Return once no request would be cut, or shortly before the kill.

        `started_at` is the time of the stop signal.
        """
        actions = {"end_work": self._end_work}
        if self._entry is not None:
            actions["start_leaving"] = self._entry.leave
        if self._control is not None:
            actions["hand_over"] = self._control.leave
        schedule = DrainSchedule.from_config(
            self._settings.bounds, has_addresses_cached=self._serves_callers
        )
        await Drain(self._servers, schedule, self._ports.timers, **actions).run(
            started_at
        )

    def _end_work(self) -> None:
        for end in self._end_actions:
            end()

    async def _start_control(self, control: "ControlHost") -> None:
        role = self._settings.control
        handler = ControlHandler(control, self._decoder)
        self._end_actions.append(handler.end)
        await self._serve(
            role.operator_address, handler.handle, lambda: _OPERATOR_LIMITS
        )
        if role.directory_address:
            await self._start_directory(control, role.directory_address)
        await self._nursery.start(control.run)

    async def _start_entry(self, entry: "EntryHost") -> None:
        role = self._settings.entry
        self._end_actions.append(entry.relay.end)

        def limits() -> CallerLimits:
            return entry.tables.current.limits

        await self._serve(role.caller_address, entry.relay.handle, limits)
        if role.readiness_address:
            readiness = ReadinessHandler(lambda: entry.is_ready)
            await self._serve(role.readiness_address, readiness.handle)
        if role.directory_address:
            await self._start_directory(entry, role.directory_address)
        if role.forward_address:
            await self._serve(role.forward_address, entry.forwarded.handle, limits)
        await self._nursery.start(entry.run)
        self._serves_callers = True

    async def _start_directory(
        self, host: "ControlHost | EntryHost", address: str
    ) -> None:
        longest = self._settings.bounds.directory_seconds
        time_to_live = min(DIRECTORY_SECONDS, longest)
        handler = DirectoryHandler(host, time_to_live)
        await self._serve(address, handler.handle)

    async def _start_metrics(self, metrics: RelayMetrics) -> None:
        host = self._settings.peer_address.rpartition(":")[0]
        await self._serve(f"{host}:{METRICS_PORT}", MetricsHandler(metrics).handle)

    async def _serve(
        self,
        address: str,
        handler: ExchangeHandler,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        """Start a server, which a drain closes."""
        server = Http1Server(address, handler, limits, self._ports.timers.now)
        self._servers.append(server)
        await self._nursery.start(server.run)


def _make_control(settings: RelaySettings, ports: RelayPorts) -> "ControlHost":
    # Each role imports only its own modules, which shortens the start of a host.
    from pepperstep.programs.control_host import ControlHost

    return ControlHost(settings, ports)


def _make_entry(settings: RelaySettings, ports: RelayPorts) -> "EntryHost":
    from pepperstep.programs.entry_host import EntryHost

    return EntryHost(settings, ports)


if __name__ == "__main__":
    main(sys.argv[1:])
