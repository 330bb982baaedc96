"""Daemon of a host that relays requests by the operators' routes.

The platform's settings file lists the host's roles. The daemon is separate from
`pepperstep.daemon`, whose libraries are large, so that a host loads only the modules
that its roles need.
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
from pepperstep.observability.decisions import DrainEnded, SignalReceived
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

# Port of the metrics endpoint of both roles, on the host's peer address.
METRICS_PORT = 9464

# Time to live of the entry hosts' addresses at callers. Some callers keep the
# addresses three times as long, and a stopping host must wait for them.
_DIRECTORY_SECONDS = 1.5
_MAX_DIRECTORY_LIFETIMES = 3
# Fraction of the grace period, which ends with the kill, that draining may take.
_GRACE_SHARE = 0.93
_POLL_SECONDS = 0.1
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
        await _wait_for_stop_signal()
        async with trio.open_nursery() as leaving:
            if entry is not None:
                leaving.start_soon(_drain, entry, server, settings, timers)
            if control is not None:
                leaving.start_soon(_leave_group, control, settings, timers)
        logging.info("daemon: Stopping.")
        nursery.cancel_scope.cancel()


def _make_control(settings: RelaySettings, ports: RelayPorts) -> "ControlHost":
    # Each role imports only its own modules, which shortens the start of a host.
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
    handler = ControlHandler(control, decoder)
    server = Http1Server(
        role.operator_address, handler.handle, lambda: _OPERATOR_LIMITS, timers.now
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
    time_to_live = min(_DIRECTORY_SECONDS, settings.bounds.directory_seconds)
    handler = DirectoryHandler(host, time_to_live)
    server = Http1Server(address, handler.handle, CallerLimits, timers.now)
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
        readiness_server = Http1Server(
            role.readiness_address, readiness.handle, CallerLimits, timers.now
        )
        await nursery.start(readiness_server.run)
    if role.directory_address:
        await _start_directory(entry, role.directory_address, settings, timers, nursery)
    if role.forward_address:
        forwarded_server = Http1Server(
            role.forward_address,
            entry.forwarded.handle,
            lambda: entry.tables.current.limits,
            timers.now,
        )
        await nursery.start(forwarded_server.run)
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
    """Ignore SIGHUP: changed settings take effect at the next start."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            logging.info("daemon: Ignored SIGHUP: settings are read at the start only.")


async def _wait_for_stop_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            event = SignalReceived(signal.Signals(number).name, is_stopping=False)
            logging.info("daemon: %s", event)
            return


async def _leave_group(
    control: "ControlHost", settings: RelaySettings, timers: TrioTimers
) -> None:
    """Hand over the vote and the lead while there is time before the kill."""
    with timers.move_on_after(_GRACE_SHARE * settings.bounds.grace_seconds):
        await control.leave()


async def _drain(
    entry: "EntryHost",
    server: Http1Server,
    settings: RelaySettings,
    timers: TrioTimers,
) -> None:
    """Answer requests in flight and those from callers with cached addresses.

    Requests of other entry hosts that this one works on count, too.
    """
    entry.leave()
    server.announce_closing()
    started = timers.now()
    grace = _GRACE_SHARE * settings.bounds.grace_seconds
    cached_seconds = min(_MAX_DIRECTORY_LIFETIMES * _DIRECTORY_SECONDS, grace)
    while True:
        await timers.sleep(_POLL_SECONDS)
        elapsed = timers.now() - started
        pending = server.pending_work
        is_busy = pending.in_progress or entry.forwarded.in_flight
        if elapsed >= grace or (elapsed >= cached_seconds and not is_busy):
            event = DrainEnded(
                reason="grace_over" if elapsed >= grace else "idle",
                after_ms=round(1000 * elapsed),
                in_progress=pending.in_progress + entry.forwarded.in_flight,
                unread=pending.unread,
                unaccepted=pending.unaccepted,
            )
            logging.info("daemon: %s", event)
            return


if __name__ == "__main__":
    main(sys.argv[1:])
