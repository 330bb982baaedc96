"""Times until an accepted change of the configuration is in force everywhere."""

import tempfile
import threading
import time
from pathlib import Path

import tomli_w
import trio
from trio._core import _run as run_module
from trio.testing import MockClock

from demo.documents import OPERATOR_KEY, base_document
from demo.launcher import DaemonPlace, Documents, Launcher, free_ports, wait_ready
from pepperstep.adapters.operator_messages import ChangeBody, ConfigurationView
from pepperstep.cli.server import Server
from pepperstep.configuration import BASE, Change, ChangeAnswer
from pepperstep.fakes import FakeUpstreams
from pepperstep.fakes.hosts import FakeHosts, HostPlace

__all__ = ["measure_fakes", "measure_processes"]

_HOSTS = (6, 12, 24, 48)
_PROCESSES = 6
_CHANGES = 5
_POLL_SECONDS = 0.01
_PAUSE_SECONDS = 1.0
_BASE = {
    "sites": {"kitahara": {"regions": ["dosanko"]}},
    "workspaces": {"planners": {}},
    "deployments": {"zaseki-model": {"model": "zaseki-7b", "workspaces": ["planners"]}},
}


def measure_fakes() -> dict[int, list[float]]:
    """Return the times in virtual time, by number of hosts."""
    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    times = {}
    for count in _HOSTS:
        run_module._r.seed(count)
        clock = MockClock(autojump_threshold=0)
        times[count] = trio.run(_change_fakes, count, clock=clock)
    return times


async def _change_fakes(count: int) -> list[float]:
    places = [
        HostPlace(f"entry-{n}", f"zone-{n % 3}", "dosanko", "kitahara", n < 3)
        for n in range(count)
    ]
    times = []
    async with FakeHosts.start(places, FakeUpstreams(), _BASE) as hosts:
        for number in range(_CHANGES):
            await trio.sleep(_PAUSE_SECONDS)
            times.append(await _change_once(hosts, number))
    return times


async def _change_once(hosts: FakeHosts, number: int) -> float:
    store = hosts.hosts["entry-0"].node.store
    text = store.text_of(BASE) + f"# change {number}\n"
    name = f"entry-{len(hosts.hosts) - 1}"
    change = Change(f"change-{number}", BASE, text, store.revision, "root", "")
    answer = await hosts.change(name, change)
    assert answer.is_accepted, answer
    accepted_at = trio.current_time()
    while any(
        host.node.configuration.revision < answer.revision
        for host in hosts.hosts.values()
    ):
        await trio.sleep(_POLL_SECONDS)
    return trio.current_time() - accepted_at


def measure_processes() -> dict[int, list[float]]:
    """Return the times with daemons on loopback."""
    ports = free_ports(2 * _PROCESSES)
    places = [
        DaemonPlace(
            f"entry-{n}",
            f"zone-{n % 3}",
            "region",
            "kitahara",
            ports.pop(),
            ports.pop(),
            ("entry", "control") if n < 3 else ("entry",),
        )
        for n in range(_PROCESSES)
    ]
    with tempfile.TemporaryDirectory() as name:
        base = Path(name) / "base.toml"
        base.write_text(tomli_w.dumps(base_document()))
        with Launcher(Path(name)) as launcher:
            for place in places:
                launcher.start_daemon(place, places, Documents(base))
            wait_ready(places)
            servers = [Server([place.url], OPERATOR_KEY) for place in places]
            times = [_change_processes(servers, n) for n in range(_CHANGES)]
    return {_PROCESSES: times}


def _change_processes(servers: list[Server], number: int) -> float:
    time.sleep(_PAUSE_SECONDS)
    server = servers[-1]
    view = server.get("configuration", ConfigurationView)
    text = next(d.text for d in view.documents if d.name == BASE)
    text += f"# change {number}\n"
    body = ChangeBody(BASE, text, view.revision, f"change-{number}")
    answer = server.post("configuration", body, ChangeAnswer)
    accepted_at = time.monotonic()
    seen: list[float] = []
    threads = [
        threading.Thread(target=_wait_revision, args=(each, answer.revision, seen))
        for each in servers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return max(seen) - accepted_at


def _wait_revision(server: Server, revision: int, seen: list[float]) -> None:
    while server.get("configuration", ConfigurationView).revision < revision:
        time.sleep(_POLL_SECONDS)
    seen.append(time.monotonic())
