"""The daemon of a host that relays by operators' routes.

The platform's settings file says which roles the host has. It's separate from
the daemon with the project's own interface so that a host loads only what its
roles need: the libraries of the other are not small.
"""

import os
import random
import signal
import sys
from collections.abc import Sequence
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
from pepperstep.programs.relay_ports import RelayPorts
from pepperstep.programs.relay_settings import RelaySettings

if TYPE_CHECKING:
    from pepperstep.programs.control_host import ControlHost
    from pepperstep.programs.entry_host import EntryHost

__all__ = ["main"]

_CHECK = "--check"

EXIT_SETTINGS = 2
EXIT_LISTEN = 3
EXIT_STORAGE = 4

# Where both roles serve their metrics, on the host's own address.
METRICS_PORT = 9464

# Time for which callers keep the entry hosts' addresses, in seconds. Some keep
# them three times as long, and a host that stops must wait for these.
_DIRECTORY_SECONDS = 1.5
_LONGEST_KEEP = 3
# Part of the time until the kill that a stopping entry host uses.
_GRACE_SHARE = 0.93
_POLL_SECONDS = 0.1
# Operators' documents and answers to them; in bytes.
_OPERATOR_LIMITS = CallerLimits(body_bytes=32 * 1024 * 1024)


def main(arguments: Sequence[str] = ()) -> None:
    """Run the daemon until it's told to stop; with --check, only its settings."""
    settings = _read_settings()
    if _CHECK in arguments:
        print("The settings are valid.")
        return
    set_up_json_logging(settings.host)
    try:
        trio.run(_run, settings)
    except* OSError as errors:
        _exit(EXIT_LISTEN, f"{_first_of(errors)}")
    except* Failure as errors:
        _exit(EXIT_STORAGE, f"{_first_of(errors)}")


def _read_settings() -> RelaySettings:
    name = os.environ.get(SETTINGS_VARIABLE, "")
    if not name:
        _exit(EXIT_SETTINGS, f"{SETTINGS_VARIABLE} doesn't name the settings file.")
    try:
        return read_platform_settings(Path(name))
    except InvalidDocument as error:
        _exit(EXIT_SETTINGS, error.text)
    except OSError as error:
        _exit(EXIT_SETTINGS, f"The settings can't be read: {error}")


def _first_of(error: BaseException) -> BaseException:
    """Return what went wrong first; each nursery adds a group around it."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _exit(code: int, text: str) -> None:
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
        "daemon: Starts as %s with peers at %s.", settings.host, settings.peer_address
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(peers.serve)
        entry = control = None
        if settings.control is not None:
            control = _make_control(settings, ports)
            await _start_control(control, decoder, settings, timers, nursery)
        if settings.entry is not None:
            entry = _make_entry(settings, ports)
            server = await _start_entry(entry, settings, timers, nursery)
        for host in filter(None, (entry, control)):
            await _start_metrics(host.metrics, settings, timers, nursery)
        nursery.start_soon(_ignore_reload)
        await _wait_stop()
        if entry is not None:
            await _drain(entry, server, settings, timers)
        logging.info("daemon: Stops.")
        nursery.cancel_scope.cancel()


def _make_control(settings: RelaySettings, ports: RelayPorts) -> "ControlHost":
    # Each role loads what it needs only: callers wait for hosts that start.
    from pepperstep.programs.control_host import ControlHost

    return ControlHost(settings, ports)


def _make_entry(settings: RelaySettings, ports: RelayPorts) -> "EntryHost":
    from pepperstep.programs.entry_host import EntryHost

    return EntryHost(settings, ports)


async def _start_control(
    control: "ControlHost",
    decoder: TableDecoder,
    settings: RelaySettings,
    timers: TrioTimers,
    nursery: trio.Nursery,
) -> None:
    role = settings.control
    calls = ControlHandler(control, decoder)
    server = Http1Server(
        role.operator_address, calls.handle, lambda: _OPERATOR_LIMITS, timers.now
    )
    await nursery.start(server.run)
    if role.directory_address:
        await _start_directory(
            control, role.directory_address, settings, timers, nursery
        )
    await nursery.start(control.run)


async def _start_directory(
    host: "ControlHost | EntryHost",
    address: str,
    settings: RelaySettings,
    timers: TrioTimers,
    nursery: trio.Nursery,
) -> None:
    keep = min(_DIRECTORY_SECONDS, settings.bounds.directory_seconds)
    calls = DirectoryHandler(host, keep)
    server = Http1Server(address, calls.handle, CallerLimits, timers.now)
    await nursery.start(server.run)


async def _start_entry(
    entry: "EntryHost",
    settings: RelaySettings,
    timers: TrioTimers,
    nursery: trio.Nursery,
) -> Http1Server:
    role = settings.entry
    server = Http1Server(
        role.caller_address,
        entry.relay.handle,
        lambda: entry.tables.current.limits,
        timers.now,
    )
    await nursery.start(server.run)
    if role.readiness_address:
        readiness = ReadinessHandler(lambda: entry.is_ready)
        other = Http1Server(
            role.readiness_address, readiness.handle, CallerLimits, timers.now
        )
        await nursery.start(other.run)
    if role.directory_address:
        await _start_directory(entry, role.directory_address, settings, timers, nursery)
    await nursery.start(entry.run)
    return server


async def _start_metrics(
    metrics: RelayMetrics,
    settings: RelaySettings,
    timers: TrioTimers,
    nursery: trio.Nursery,
) -> None:
    host = settings.peer_address.rpartition(":")[0]
    server = Http1Server(
        f"{host}:{METRICS_PORT}",
        MetricsHandler(metrics).handle,
        CallerLimits,
        timers.now,
    )
    await nursery.start(server.run)


async def _ignore_reload() -> None:
    """Keep running when the settings change: what may change counts at a start."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            logging.info("daemon: Was told to reload; nothing to change.")


async def _wait_stop() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def _drain(
    entry: "EntryHost",
    server: Http1Server,
    settings: RelaySettings,
    timers: TrioTimers,
) -> None:
    """Answer what is under way, and what callers with old addresses still send."""
    entry.leave()
    server.announce_closing()
    begun = timers.now()
    grace = _GRACE_SHARE * settings.bounds.grace_seconds
    known_for = min(_LONGEST_KEEP * _DIRECTORY_SECONDS, grace)
    while True:
        await timers.sleep(_POLL_SECONDS)
        passed = timers.now() - begun
        if passed >= grace or (passed >= known_for and not server.busy_count):
            return


if __name__ == "__main__":
    main(sys.argv[1:])
