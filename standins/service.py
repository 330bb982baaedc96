"""Stand-in for a plain service.

It counts the runs of each request body by the body's SHA-256 in hexadecimal.
`POST /standin/v1/faults` with the fields of `Faults` sets the faults. Each run is
written to a file before it begins, so that the count survives a crash.
"""

import hashlib
import os
import time
from collections import Counter

import msgspec
import trio
from absl import app, flags

from standins.announcing import announce
from standins.web import Application, Reply, json_reply, serve

__all__ = ["Faults", "Service", "main"]

_NAME = flags.DEFINE_string("name", "service", "Name that it announces.")
_SERVICE = flags.DEFINE_string("service", "quote-api", "Service that it runs.")
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9200", "Address to listen on.")
_ENTRY_HOSTS = flags.DEFINE_list(
    "entry_hosts", [], "Base URLs of entry hosts to announce at."
)
_KEY = flags.DEFINE_string("key", "", "Key with which it announces itself.")
_HOST = flags.DEFINE_string("host", "", "Cloud host it runs on; the name by default.")
_ZONE = flags.DEFINE_string("zone", "zone-a", "Availability zone.")
_REGION = flags.DEFINE_string("region", "region", "Region.")
_SLOTS = flags.DEFINE_integer("slots", 16, "Calls at the same time.")
_RUN_SECONDS = flags.DEFINE_float("run_seconds", 0.05, "Time that a call runs.")
_HEARTBEAT = flags.DEFINE_float("heartbeat_seconds", 1.0, "Period of announcements.")
_RUNS_FILE = flags.DEFINE_string("runs_file", "", "File that gets a line for each run.")


class Faults(msgspec.Struct):
    """Faults that can be set while the service runs."""

    # Extra seconds per call.
    slow_seconds: float = 0.0
    # Run each call and answer with status 500.
    fail: bool = False
    # Refuse each call without running it.
    refuse: bool = False
    # Exit at the next call: "before" the run, "during" the run, or "after" the run
    # but before the answer.
    dies: str = ""


class Service:
    """Plain service with run counts and injected faults."""

    def __init__(self) -> None:
        self.epoch = time.time_ns() // 1_000_000
        self.faults = Faults()
        self.runs: Counter[str] = Counter()
        self._running = 0
        self._slots = trio.CapacityLimiter(_SLOTS.value)

    def application(self) -> Application:
        """Return the HTTP interface; every other path is a call."""
        application = Application()
        application.add("POST", "/standin/v1/faults", self._set_faults)
        application.add("GET", "/standin/v1/counts", self._read_counts)
        for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
            application.add(method, "/", self._call)
        return application

    def describe(self) -> dict:
        """Return the announcement without its sequence number."""
        return {
            "name": _NAME.value,
            "epoch": self.epoch,
            "address": _ADDRESS.value,
            "kind": "service",
            "service": _SERVICE.value,
            "host": _HOST.value or _NAME.value,
            "zone": _ZONE.value,
            "region": _REGION.value,
            "slots": _SLOTS.value,
            "load": {"running": self._running},
        }

    async def _call(self, body: bytes, scope: dict) -> Reply:
        headers = _attempt_headers(scope)
        if self.faults.refuse:
            not_run = ((b"x-not-run", b"1"), (b"retry-after", b"1"))
            error = msgspec.json.encode({"error": "refused"})
            return Reply(503, error, headers=headers + not_run)
        self._exit_at("before")
        async with self._slots:
            digest = hashlib.sha256(body).hexdigest()
            self._record_run(digest)
            await self._run()
        self._exit_at("after")
        if self.faults.fail:
            error = msgspec.json.encode({"error": "fault"})
            return Reply(500, error, headers=headers)
        answer = {"sha256": digest, "runs": self.runs[digest]}
        return Reply(200, msgspec.json.encode(answer), headers=headers)

    async def _run(self) -> None:
        seconds = _RUN_SECONDS.value + self.faults.slow_seconds
        self._running += 1
        try:
            await trio.sleep(seconds / 2)
            self._exit_at("during")
            await trio.sleep(seconds / 2)
        finally:
            self._running -= 1

    def _record_run(self, digest: str) -> None:
        self.runs[digest] += 1
        if _RUNS_FILE.value:
            with open(_RUNS_FILE.value, "a", encoding="ascii") as file:
                file.write(digest + "\n")

    def _exit_at(self, point: str) -> None:
        if self.faults.dies == point:
            os._exit(1)

    async def _set_faults(self, body: bytes, scope: dict) -> Reply:
        self.faults = msgspec.json.decode(body, type=Faults)
        return json_reply({})

    async def _read_counts(self, body: bytes, scope: dict) -> Reply:
        return json_reply({"runs": self.runs})


def _attempt_headers(scope: dict) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value) for name, value in scope["headers"] if name == b"x-attempt-id"
    )


async def _run() -> None:
    service = Service()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            announce,
            _ENTRY_HOSTS.value,
            _KEY.value,
            _HEARTBEAT.value,
            service.describe,
        )
        await serve(service.application(), _ADDRESS.value)
        nursery.cancel_scope.cancel()


def main(_: list[str]) -> None:
    """Run the service until SIGTERM."""
    trio.run(_run)


if __name__ == "__main__":
    app.run(main)
