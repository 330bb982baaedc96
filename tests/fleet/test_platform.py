"""HTTP clients of the cloud and the weight store against stand-in processes."""

import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest
import trio

from pepperstep.adapters.http_cloud import HttpCloud
from pepperstep.adapters.http_weights import HttpWeights
from pepperstep.ports.cloud import HostState, Offer, PriceClass, StartRefused

SPOT = Offer("makati-a", "gpu", PriceClass.RECLAIMABLE, 0.35)
FIXED = Offer("makati-a", "gpu", PriceClass.ON_DEMAND, 1.0)
_START_TRIES = 200


@asynccontextmanager
async def _standin(name: str, *arguments: str) -> AsyncIterator[str]:
    """Run a stand-in process and yield its base URL."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = f"127.0.0.1:{free.getsockname()[1]}"
    command = [sys.executable, "-m", f"standins.{name}", f"--address={address}"]
    async with trio.open_nursery() as nursery:
        process = await nursery.start(
            lambda task_status: trio.run_process(
                [*command, *arguments],
                check=False,
                stderr=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
                task_status=task_status,
            )
        )
        await _wait_listening(address)
        yield f"http://{address}"
        process.terminate()


async def _wait_listening(address: str) -> None:
    host, _, port = address.partition(":")
    for _ in range(_START_TRIES):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.sleep(0.05)
        else:
            await stream.aclose()
            return
    raise AssertionError("The stand-in doesn't listen.")


async def _call(method: str, url: str, content: object = None, **headers):
    body = b"" if content is None else msgspec.json.encode(content)
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(method, url, content=body, headers=headers)


async def test_cloud():
    flags = [f"{o.zone}:{o.machine}:{o.price_class}:{o.price}" for o in (SPOT, FIXED)]
    async with _standin(
        "cloud", f"--offers={','.join(flags)}", "--start_seconds=0"
    ) as url:
        cloud = HttpCloud(url)
        assert await cloud.list_offers() == [SPOT, FIXED]
        hosts = [await cloud.start_host("fleet-1-1", SPOT, "pool") for _ in range(2)]
        hosts.append(await cloud.start_host("fleet-1-2", FIXED, "pool"))
        assert [host.id for host in hosts] == ["host-1", "host-1", "host-2"]
        assert await cloud.list_hosts() == hosts[1:]
        assert hosts[0].token == "fleet-1-1"
        assert hosts[0].state is HostState.RUNNING

        faults = {"refused": ["makati-a/reclaimable"], "retry_after": 7.5}
        await _call("POST", f"{url}/standin/v1/faults", faults)
        with pytest.raises(StartRefused) as caught:
            await cloud.start_host("fleet-1-3", SPOT, "pool")
        assert caught.value.retry_after == 7.5
        for fault in ({"wrong": True}, {"fail": True}):
            await _call("POST", f"{url}/standin/v1/faults", fault)
            for call in (
                cloud.list_offers,
                cloud.list_hosts,
                lambda: cloud.list_notices(0),
                lambda: cloud.start_host("fleet-1-4", FIXED, "pool"),
                lambda: cloud.stop_host("host-2"),
            ):
                with pytest.raises(OSError):
                    await call()
        await _call("POST", f"{url}/standin/v1/faults", {})
        # Starts with a malformed answer were executed, and none twice.
        tokens = [host.token for host in await cloud.list_hosts()]
        assert tokens == ["fleet-1-1", "fleet-1-4"]

        reclaim = {"zone": "makati-a", "seconds": 0.0}
        await _call("POST", f"{url}/standin/v1/reclaim", reclaim)
        notices = await cloud.list_notices(0)
        assert [(notice.id, notice.host_id) for notice in notices] == [(1, "host-1")]
        assert await cloud.list_notices(1) == []
        assert [host.id for host in await cloud.list_hosts()] == ["host-3"]
        for host_id in ("host-3", "host-3", "unknown/host"):
            await cloud.stop_host(host_id)
        assert await cloud.list_hosts() == []
    with pytest.raises(OSError):
        await HttpCloud(url).list_hosts()


async def test_weight_store():
    size = 5 * 1024 * 1024
    async with _standin(
        "weights", f"--models=zaseki-7b:1:{size}", "--rate=1000"
    ) as url:
        store = HttpWeights(url)
        assert await store.rate() == 1000
        assert await store.size_bytes("zaseki-7b", "1") == size
        with pytest.raises(KeyError):
            await store.size_bytes("zaseki-7b", "2")
        part = f"{url}/weights/v1/content/zaseki-7b/1?offset={size - 900_000}"
        first = await _call("GET", part)
        assert (first.status, len(first.content)) == (200, 900_000)
        second = await _call("GET", part)
        assert second.status == 429
        wait = dict(second.headers)[b"retry-after"]
        assert 0 < float(wait) < 1000
    with pytest.raises(OSError):
        await HttpWeights(url).rate()


async def test_plain_service(tmp_path):
    runs = tmp_path / "runs"
    async with _standin("service", f"--runs_file={runs}", "--run_seconds=0") as url:
        for count in (1, 2):
            answer = await _call("POST", f"{url}/quotes", "q", **{"x-attempt-id": "a"})
            assert msgspec.json.decode(answer.content)["runs"] == count
            assert dict(answer.headers)[b"x-attempt-id"] == b"a"
        await _call("POST", f"{url}/standin/v1/faults", {"refuse": True})
        refused = await _call("POST", f"{url}/quotes", "q")
        assert refused.status == 503
        assert b"x-not-run" in dict(refused.headers)
        await _call("POST", f"{url}/standin/v1/faults", {"dies": "during"})
        with pytest.raises((httpcore.ProtocolError, httpcore.NetworkError)):
            await _call("POST", f"{url}/quotes", "q")
        # The run interrupted by the crash is recorded.
        assert len(runs.read_text().split()) == 3
