"""The daemon `pepperstepd`."""

import random
import secrets
import signal
import sys
import tomllib
from pathlib import Path

import trio
from absl import app, flags, logging
from pydantic import TypeAdapter

from pepperstep.adapters.files import FolderStorage
from pepperstep.adapters.grpc_peers import GrpcPeers, PeerCredentials
from pepperstep.adapters.http_api import Api, serve_api
from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.adapters.timers import TrioTimers
from pepperstep.configuration import BaseDocument, Configuration
from pepperstep.entities import Host
from pepperstep.errors import InvalidDocument
from pepperstep.fakes import FakeAgreement, FakeLog
from pepperstep.node import Node, Ports, StaticDirectory
from pepperstep.settings import Settings, TlsSettings, read_settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_LISTEN = 3

_CONFIG = flags.DEFINE_string("config", "", "File with the daemon's settings (TOML).")


def main() -> None:
    """Run the daemon; the entry point of the console script."""
    app.run(_main)


def _main(_: list[str]) -> None:
    try:
        settings = read_settings(Path(_CONFIG.value))
    except InvalidDocument as error:
        print(f"pepperstepd: Settings are invalid:\n{error.text}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except OSError as error:
        print(f"pepperstepd: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        trio.run(_run, settings)
    except* OSError as errors:
        print(f"pepperstepd: {errors.exceptions[0]}", file=sys.stderr)
        sys.exit(EXIT_LISTEN)


async def _run(settings: Settings) -> None:
    rng = random.Random(secrets.randbits(64))
    peers = GrpcPeers(
        settings.host.name, settings.host.peer_address, _credentials(settings.tls)
    )
    ports = Ports(
        TrioTimers(rng),
        peers,
        HttpUpstreams(settings.upstream_key),
        rng,
        _storage(settings),
    )
    hosts = [settings.to_host()]
    for seed in settings.seeds:
        peers.set_address(seed.name, seed.peer_address)
        hosts.append(
            Host(seed.name, seed.peer_address, "", seed.name, settings.host.region, "")
        )
    agreement = FakeAgreement(settings.host.name, FakeLog())
    table = tomllib.loads(Path(settings.documents.base).read_text())
    base = TypeAdapter(BaseDocument).validate_python(table)
    configuration = Configuration(
        1,
        base.sites,
        base.limits,
        upstream_keys=base.upstream_keys,
        workspaces=base.workspaces,
        callers=base.callers,
        deployments=base.deployments,
        services=base.services,
    )
    node = Node(settings, ports, StaticDirectory(hosts), agreement, configuration)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(peers.serve)
        await nursery.start(node.run)
        nursery.start_soon(_wait_for_signal, stop)

        async def serve(task_status) -> None:
            await serve_api(
                Api(node),
                settings,
                node.configuration.limits,
                stop.wait,
                task_status,
            )
            nursery.cancel_scope.cancel()

        await nursery.start(serve)
        logging.info("daemon: Listens on %s.", settings.host.caller_address)


async def _wait_for_signal(stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            logging.info("daemon: Drains.")
            stop.set()
            return


def _storage(settings: Settings) -> FolderStorage | None:
    if not settings.control.data_folder:
        return None
    return FolderStorage(Path(settings.control.data_folder))


def _credentials(tls: TlsSettings) -> PeerCredentials | None:
    if not tls.peer_certificate:
        return None
    return PeerCredentials(
        Path(tls.peer_certificate).read_bytes(),
        Path(tls.peer_key).read_bytes(),
        Path(tls.peer_authority).read_bytes(),
    )


if __name__ == "__main__":
    main()
