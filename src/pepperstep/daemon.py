"""Daemon `pepperstepd` with the project's own interfaces."""

import random
import secrets
import signal
import ssl
import sys
from pathlib import Path

import trio
from absl import app, flags, logging

from pepperstep.adapters.files import FolderStorage
from pepperstep.adapters.grpc_peers import GrpcPeers, PeerCredentials
from pepperstep.adapters.http_api import Api, serve_api
from pepperstep.adapters.http_cloud import HttpCloud
from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.adapters.http_weights import HttpWeights
from pepperstep.adapters.timers import TrioTimers
from pepperstep.errors import Failure, InvalidDocument
from pepperstep.first_documents import propose_first_documents
from pepperstep.node import Node, Ports
from pepperstep.observability.logs import LogFormat, set_up_logs
from pepperstep.settings import Settings, TlsSettings, read_settings
from pepperstep.stop_signals import StopSignals

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_LISTEN = 3
EXIT_STORAGE = 4

_CONFIG = flags.DEFINE_string("config", "", "File with the daemon's settings (TOML).")
_LOG_FORMAT = flags.DEFINE_enum_class(
    "log_format", LogFormat.TEXT, LogFormat, "Form of the log's lines."
)


def main() -> None:
    """Run the daemon; the entry point of the console script."""
    app.run(_main)


def _main(_: list[str]) -> None:
    # Signals are received once the settings are read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    set_up_logs(_LOG_FORMAT.value)
    settings = _read_settings(_CONFIG.value)
    try:
        trio.run(_run, settings)
    except* OSError as errors:
        _exit_with_error(EXIT_LISTEN, f"{_innermost_error(errors)}")
    except* Failure as errors:
        _exit_with_error(EXIT_STORAGE, f"{_innermost_error(errors)}")


def _innermost_error(error: BaseException) -> BaseException:
    """Return the first error inside the exception groups that nurseries add."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _read_settings(name: str) -> Settings:
    if not name:
        _exit_with_error(EXIT_SETTINGS, "Name the settings by --config FILE.")
    try:
        return read_settings(Path(name))
    except InvalidDocument as error:
        _exit_with_error(EXIT_SETTINGS, f"Settings are invalid:\n{error.text}")
    except OSError as error:
        _exit_with_error(EXIT_SETTINGS, f"Settings can't be read: {error}")


def _exit_with_error(code: int, text: str) -> None:
    print(f"pepperstepd: {text}", file=sys.stderr)
    sys.exit(code)


async def _run(settings: Settings) -> None:
    stop = StopSignals(trio.current_time)
    async with trio.open_nursery() as watching:
        await watching.start(stop.watch)
        await _run_until_stopped(settings, stop)
        watching.cancel_scope.cancel()


async def _run_until_stopped(settings: Settings, stop: StopSignals) -> None:
    rng = random.Random(secrets.randbits(64))
    peers = GrpcPeers(
        settings.host.name, settings.host.peer_address, _peer_credentials(settings.tls)
    )
    node = Node(settings, _make_ports(settings, peers, rng))
    api = Api(node, node.metrics, node.operations)
    async with trio.open_nursery() as nursery:
        await nursery.start(peers.serve)
        await nursery.start(node.run)
        nursery.start_soon(_drain_at_stop, node, stop)
        nursery.start_soon(
            propose_first_documents,
            settings.documents,
            node.store,
            node.agreement,
            node.timers,
        )
        await _serve(api, node, settings, nursery)
        await node.depart()
        nursery.cancel_scope.cancel()


async def _serve(
    api: Api, node: Node, settings: Settings, nursery: trio.Nursery
) -> None:
    """Serve callers until the host has drained and all connections are closed."""
    is_drained = trio.Event()

    async def drain() -> None:
        await node.wait_drain_requested()
        await node.drain()
        is_drained.set()

    nursery.start_soon(drain)
    logging.info("daemon: Listening on %s.", settings.host.caller_address)
    await serve_api(
        api,
        settings,
        lambda: node.configuration.limits,
        is_drained.wait,
        is_leaving=lambda: node.is_leaving,
    )


async def _drain_at_stop(node: Node, stop: StopSignals) -> None:
    await stop.wait()
    node.start_drain()


def _make_ports(settings: Settings, peers: GrpcPeers, rng: random.Random) -> Ports:
    cloud_url = settings.cloud.cloud_url
    weights_url = settings.cloud.weight_store_url
    data_folder = settings.control.data_folder
    return Ports(
        timers=TrioTimers(rng),
        peers=peers,
        upstreams=HttpUpstreams(
            settings.upstream_key, _upstream_tls_context(settings.tls)
        ),
        rng=rng,
        storage=FolderStorage(Path(data_folder)) if data_folder else None,
        cloud=HttpCloud(cloud_url) if cloud_url else None,
        weights=HttpWeights(weights_url) if weights_url else None,
    )


def _upstream_tls_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the context that verifies upstreams' certificates, None without TLS."""
    if not tls.upstream_authority:
        return None
    return ssl.create_default_context(cafile=tls.upstream_authority)


def _peer_credentials(tls: TlsSettings) -> PeerCredentials | None:
    if not tls.peer_certificate:
        return None
    return PeerCredentials(
        Path(tls.peer_certificate).read_bytes(),
        Path(tls.peer_key).read_bytes(),
        Path(tls.peer_authority).read_bytes(),
    )


if __name__ == "__main__":
    main()
