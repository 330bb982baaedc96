"""Real daemons on loopback exchange the platform's messages with a stand-in.

Guards the whole path of requests, drains, restarts with stored data, the replacement
of a lost disk, and the checks of the settings file.
"""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import trio

from standins.platform_site import Site

KEY = (b"authorization", b"Bearer key-of-desk")
SEEDS = [1, 2, 3]


def table(version: int, **changes) -> bytes:
    """Return an operator's document with a plain route and a stream route."""
    base = {"host": "a.example", "timeout_ms": 9000, "service": "plain"}
    routes = [
        base | {"name": "once", "path_prefix": "/once/", "kind": "unsafe"},
        base | {"name": "stream", "path_prefix": "/stream/", "kind": "stream"},
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "plain"}],
        "tenants": [{"name": "desk", "api_keys": ["key-of-desk"]}],
    }
    return json.dumps(document | changes).encode()


async def start_all(site: Site):
    """Start three control hosts and two entry hosts with a table and an upstream."""
    for number in SEEDS:
        site.start(f"control-{number}", number, is_first=True, seeds=SEEDS)
    for number in (4, 5):
        site.start(f"entry-{number}", number, is_first=True, seeds=SEEDS)
    accepted = await site.operate(b"POST", "/-/Config.Replace", table(7))
    assert accepted.status == 200
    upstream = await site.upstream("u1", "plain", 9)
    for name in ("entry-4", "entry-5"):
        await site.wait(lambda name=name: site.is_ready(name))
    return upstream


async def test_whole_path(tmp_path):
    async with Site.open(tmp_path) as site:
        upstream = await start_all(site)

        async def all_entry_hosts_are_listed() -> bool:
            return len(await site.resolve()) == 2

        await site.wait(all_entry_hosts_are_listed)
        answer = await site.request("entry-4", "/once/1", KEY, body=b"chart")
        assert (answer.status, answer.body) == (200, b"chart")
        assert answer.headers[b"pepperstep-replica-seal"] == b"u1"
        assert upstream.seen[-1].first(b"pepperstep-tenant") == b"desk"
        stream = await site.request("entry-5", "/stream/1", KEY)
        assert stream.body.count(b"data:") == 3
        assert (await site.request("entry-4", "/once/1")).status == 401
        assert (await site.request("entry-4", "/nowhere/1", KEY)).status == 404
        bad = await site.operate(b"POST", "/-/Config.Replace", table(8, routes=0))
        assert bad.status == 400
        read = await site.operate(b"GET", "/-/Config.Read")
        assert json.loads(read.body)["version"] == 7


async def test_drain_finishes_streams_and_restart_keeps_configuration(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        streams = []

        async def read_stream() -> None:
            streams.append(await site.request("entry-4", "/stream/1", KEY))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(read_stream)
            await trio.sleep(0.1)
            site.daemons["entry-4"].stop()

            async def has_left() -> bool:
                return not await site.is_ready("entry-4")

            await site.wait(has_left)
        assert [each.body.count(b"data:") for each in streams] == [3] * 5
        assert await site.wait_end("entry-4") == 0
        for number in SEEDS:
            site.daemons[f"control-{number}"].stop(signal.SIGKILL)
            await site.wait_end(f"control-{number}")
        for number in SEEDS:
            site.start(f"control-{number}", number, is_first=False, seeds=SEEDS)
        site.start("entry-6", 6, is_first=False, seeds=SEEDS)
        await site.wait(lambda: site.is_ready("entry-6"))
        read = await site.operate(b"GET", "/-/Config.Read")
        assert json.loads(read.body)["version"] == 7


async def test_replacement_of_host_with_lost_disk(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        site.daemons["control-3"].stop(signal.SIGKILL)
        await site.wait_end("control-3")
        site.start("control-8", 8, is_first=False, seeds=[1, 2, 8])

        async def has_table() -> bool:
            text = site.daemons["control-8"].log.read_text()
            return '"event":"routes_in_force","version":7' in text

        await site.wait(has_table)
        accepted = await site.operate(b"POST", "/-/Config.Replace", table(9))
        assert accepted.status == 200


DAEMON = Path(__file__).parents[2] / "deploy" / "pepperstepd.py"
VALID_SETTINGS = {
    "node_name": "edge-1",
    "ip": "127.0.0.1",
    "zone": "z1",
    "region": "r1",
    "listen": {"frontend": "127.0.0.1:81"},
    "internal_ports": [7600, 7615],
    "seed_nodes": ["127.0.0.1:82"],
}


def run_daemon(tmp_path: Path, text: str | None) -> subprocess.CompletedProcess:
    """Run the daemon's check with a settings file, which is missing for None."""
    path = tmp_path / "settings.json"
    if text is not None:
        path.write_text(text)
    return subprocess.run(
        [sys.executable, str(DAEMON), "--check"],
        env={"PEPPERSTEP_SETTINGS": str(path), "PATH": "/usr/bin"},
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("text", [None, "{", "{}", '{"node_name": 3}'])
def test_invalid_settings_are_reported_without_traceback(tmp_path, text):
    result = run_daemon(tmp_path, text)
    assert result.returncode == 2
    assert result.stderr.startswith("pepperstepd: ")
    assert "Traceback" not in result.stderr


def test_check_reports_all_findings(tmp_path):
    settings = {
        "node_name": "core-1",
        "ip": "127.0.0.1",
        "zone": "z1",
        "region": "r1",
        "listen": {"control": "127.0.0.1:81"},
        "internal_ports": [],
        "seed_nodes": [],
    }
    result = run_daemon(tmp_path, json.dumps(settings))
    assert result.returncode == 2
    for place in ("internal_ports", "seed_nodes", "data_dir"):
        assert place in result.stderr


def test_check_of_valid_settings_only_validates(tmp_path):
    result = run_daemon(tmp_path, json.dumps(VALID_SETTINGS))
    assert (result.returncode, result.stdout) == (0, "The settings are valid.\n")


def test_reload_signal_ends_a_host_that_reads_its_settings(tmp_path):
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, str(DAEMON), "--check"],
        env={"PEPPERSTEP_SETTINGS": str(path), "PATH": "/usr/bin"},
        stdout=subprocess.PIPE,
        text=True,
    )
    # Opens once the daemon has opened the file, too.
    with path.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write(json.dumps(VALID_SETTINGS))
    output, _ = process.communicate(timeout=60)
    assert (process.returncode, output) == (0, "The settings are valid.\n")


async def test_drain_finishes_streams_of_other_entry_hosts(tmp_path):
    async with Site.open(tmp_path) as site:
        upstream = await start_all(site)
        upstream.pause = 2.6
        answers = []

        async def forward() -> None:
            answers.append(await site.forward("entry-4", "/stream/1", KEY))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(forward)
            await trio.sleep(0.5)
            site.daemons["entry-4"].stop()
            await trio.sleep(0.5)
            declined = await site.forward("entry-4", "/stream/1", KEY)
        assert declined.status == 421
        [answer] = answers
        assert answer is not None and answer.body.count(b"data:") == 3
        assert await site.wait_end("entry-4") == 0
