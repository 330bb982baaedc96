"""Plays a small deployment with real daemons under seeded faults, and counts arrivals.

Upstreams refuse, fail, break off, freeze and crash; hosts are killed and stopped;
callers send bursts and repeat at once. Some contents crash every upstream that runs
them, and come again. The result tells which bounds on repeats were exceeded.
"""

import itertools
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import trio
from absl import app, flags

from pepperstep.ports.exchange import Answer, AnswerHead, Exchange
from standins.arrivals import Arrival, ArrivalLog, Sending
from standins.platform_site import Received, Site, StandInUpstream
from standins.retry_rule import RetryRule

__all__ = ["main"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults and of the load.")
_SECONDS = flags.DEFINE_float("seconds", 45.0, "Length of the load, in seconds.")
_LOAD = flags.DEFINE_float("load", 1.0, "Factor on the sheet's requests a second.")
_CRASHING = flags.DEFINE_integer("crashing", 3, "Number of contents that crash.")
_DAEMON = flags.DEFINE_string("daemon", "", "Program of the hosts, of another commit.")
_FAULTS = flags.DEFINE_bool("faults", True, "Whether hosts and upstreams fail.")
_KEEP = flags.DEFINE_string("keep", "", "Folder for settings and logs of the hosts.")

_KEY = (b"authorization", b"Bearer key-of-desk")
_CONTROL_NUMBERS = [1, 2, 3]
_ENTRY_NUMBERS = range(11, 17)
_FIRST_UPSTREAM_NUMBER = 30
_RULE = RetryRule(ratio=0.2, allowance=52.0, window=10.0)
_BOUNDS = {"grace_s": 6, "retry_slack": 52.0}
_SETTLING_SECONDS = 6.0
# Seconds until a crashed upstream is replaced by a new one.
_BACK_SECONDS = 3.0
# Mean seconds until a crashing content comes again.
_CRASHING_PAUSE_SECONDS = 0.8
_FAULT_PAUSE_SECONDS = 2.0
# Interval at which the delay of this process itself is measured.
_LAG_SECONDS = 0.02
_STATUSES_NOT_RUN = frozenset((408, 421, 429, 503))
_NOT_EXECUTED = (b"pepperstep-not-executed", b"1")


@dataclass(frozen=True, slots=True)
class CallerClass:
    """Requests of one kind, as on the deployment's sheet."""

    name: str
    service: str
    kind: str
    per_second: float
    wait: float
    max_attempts: int
    events: int = 0
    resumes: bool = False


_CLASSES = [
    CallerClass("layout", "model", "stream", 12.1, 5.0, 1, 13),
    CallerClass("guests", "model", "stream", 7.65, 3.0, 2, 6, True),
    CallerClass("move", "model", "stream", 6.24, 15.0, 1, 20),
    CallerClass("chart", "desk", "unsafe", 6.5, 1.0, 1),
    CallerClass("card", "desk", "safe", 3.4, 1.0, 2),
]
_UPSTREAMS = {"model": 6, "desk": 3}


def _table(version: int) -> bytes:
    routes = [
        {
            "name": each.name,
            "host": "a.example",
            "path_prefix": f"/{each.name}/",
            "kind": each.kind,
            "timeout_ms": round(1000 * each.wait),
            "service": each.service,
            "max_attempts": each.max_attempts,
            "stream_resume": each.resumes,
        }
        for each in _CLASSES
    ]
    tenants = [{"name": "desk", "api_keys": ["key-of-desk"]}]
    services = [{"name": name} for name in _UPSTREAMS]
    document = {"version": version, "routes": routes}
    return json.dumps(document | {"services": services, "tenants": tenants}).encode()


class _PlayedUpstream(StandInUpstream):
    """Upstream with a settable fault; `play` records its arrivals."""

    def __init__(self, name: str, service: str, address: str):
        super().__init__(name, service, address)
        self.fault = ""
        self.fault_share = 0.0
        self.play: _Play | None = None
        self.thawed = trio.Event()
        self.thawed.set()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request as far as the upstream's fault permits."""
        await self.thawed.wait()
        head = exchange.head
        attempt_id = head.first(b"pepperstep-attempt-id")
        fault = self.fault if self.play.rng.random() < self.fault_share else ""
        is_crashing = exchange.body.startswith(b"crash")
        runs = fault != "refuse"
        now = trio.current_time()
        arrival = Arrival(
            attempt_id,
            self.service,
            self.name,
            now,
            int(head.first(b"pepperstep-deadline-ms")) / 1000,
            runs,
            runs and is_crashing,
            now - exchange.arrived_at,
        )
        self.play.log.arrivals.append(arrival)
        headers = ((b"pepperstep-attempt-id", attempt_id),)
        if not runs:
            await exchange.answer(Answer(503, b"", (*headers, _NOT_EXECUTED)))
            return
        headers = (*headers, (b"pepperstep-replica-seal", self.name.encode()))
        await trio.sleep(0.045)
        if is_crashing:
            self.play.crash(self)
            await trio.sleep_forever()
        if fault == "fail":
            await exchange.answer(Answer(500, b"", headers))
        elif fault == "reset":
            exchange.abort()
        elif fault == "hang":
            await exchange.wait_disconnected()
        elif not self.service.startswith("model"):
            await exchange.answer(Answer(200, exchange.body, headers))
        else:
            await self._stream(exchange, headers, fault)

    async def _stream(self, exchange: Exchange, headers, fault: str) -> None:
        path = exchange.head.target.decode()
        last = int(exchange.head.first(b"last-event-id") or 0)
        events = next(each.events for each in _CLASSES if f"/{each.name}/" in path)
        await exchange.begin(AnswerHead(200, headers), b"")
        for number in range(last + 1, events + 1):
            if fault == "break" and number > events / 2:
                exchange.abort()
                return
            await exchange.send(b"id: %d\ndata: x\n\n" % number)
            await trio.sleep(0.03)
        await exchange.finish()


class _Play:
    """State of one play."""

    def __init__(self, site: Site, rng: random.Random, nursery: trio.Nursery):
        self.site = site
        self.rng = rng
        self.log = ArrivalLog()
        self.statuses: Counter[str] = Counter()
        self.crash_count = 0
        self.max_lag = 0.0
        self._nursery = nursery
        self._upstreams: dict[str, _PlayedUpstream] = {}
        self._numbers = itertools.count(_FIRST_UPSTREAM_NUMBER)
        self._ids = itertools.count(1)
        self._load = _LOAD.value
        self._storm_until = 0.0

    async def start(self) -> None:
        """Start all hosts and upstreams, and put the routes in force."""
        for number in _CONTROL_NUMBERS:
            self._start_host(f"control-{number}", is_first=True)
        for number in _ENTRY_NUMBERS:
            self._start_host(f"entry-{number}", is_first=True)
        await self.site.operate(b"POST", "/-/Config.Replace", _table(7))
        for service, count in _UPSTREAMS.items():
            for _ in range(count):
                await self._add_upstream(service)
        for name in self._entries():
            await self.site.wait(lambda name=name: self.site.is_ready(name))
        await trio.sleep(_SETTLING_SECONDS)

    async def run(self, seconds: float) -> None:
        """Run the load and the faults."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._measure_lag)
                for each in _CLASSES:
                    nursery.start_soon(self._call_forever, each, nursery)
                for number in range(_CRASHING.value):
                    nursery.start_soon(self._send_crashing, number, nursery)
                if _FAULTS.value:
                    nursery.start_soon(self._inject_faults, nursery)

    def crash(self, upstream: _PlayedUpstream) -> None:
        """Crash an upstream, and start a new one after some seconds."""
        if self._upstreams.pop(upstream.name, None) is None:
            return
        self.crash_count += 1
        self._nursery.start_soon(self._replace, upstream.service)
        self.site.crash(upstream.name)

    def result(self) -> dict:
        """Return the counts, and which bounds were exceeded."""
        fullest = self.log.fullest_windows(_RULE)
        return {
            "seed": _SEED.value,
            "requests": len(self.log.sendings),
            "arrivals": len(self.log.arrivals),
            "statuses": dict(self.statuses),
            "crashes": self.crash_count,
            "max_lag": round(self.max_lag, 3),
            "fullest_window": {
                service: f"{count} of {allowed:.0f}"
                for service, (count, allowed) in fullest.items()
            },
            "window_exceeded": any(count > top for count, top in fullest.values()),
            "attempts_exceeded": self.log.count_attempt_excess(),
            "time_exceeded": self.log.count_time_excess(),
            "late_retries": self.log.late_retries(),
            "crashing_exceeded": self.log.has_crashing_excess(),
        }

    async def _measure_lag(self) -> None:
        while True:
            expected = trio.current_time() + _LAG_SECONDS
            await trio.sleep(_LAG_SECONDS)
            self.max_lag = max(self.max_lag, trio.current_time() - expected)

    async def _replace(self, service: str) -> None:
        await trio.sleep(_BACK_SECONDS)
        await self._add_upstream(service)

    async def _add_upstream(self, service: str) -> None:
        number = next(self._numbers)
        name = f"i-{number}"
        upstream = await self.site.upstream(name, service, number, _PlayedUpstream)
        upstream.play = self
        self._upstreams[name] = upstream

    def _start_host(self, name: str, *, is_first: bool) -> None:
        self._record_disturbance(name)
        number = int(name.rpartition("-")[2])
        self.site.start(name, number, is_first=is_first, seeds=_CONTROL_NUMBERS)

    def _signal(self, name: str, number: signal.Signals) -> None:
        self._record_disturbance(name)
        self.site.daemons[name].stop(number)

    def _record_disturbance(self, name: str) -> None:
        host = name if name.startswith("entry") else ""
        self.log.disturb(host, trio.current_time())

    def _entries(self) -> list[str]:
        return [name for name in self.site.daemons if name.startswith("entry")]

    async def _call_forever(self, kind: CallerClass, nursery: trio.Nursery) -> None:
        while True:
            nursery.start_soon(self._call, kind, b"body %d" % next(self._ids), "")
            await trio.sleep(self.rng.expovariate(kind.per_second * self._load))

    async def _send_crashing(self, number: int, nursery: trio.Nursery) -> None:
        kind = self.rng.choice(_CLASSES)
        content = f"crash {number}"
        await trio.sleep(self.rng.uniform(0.0, 8.0))
        while True:
            nursery.start_soon(self._call, kind, content.encode(), content)
            await trio.sleep(self.rng.expovariate(1 / _CRASHING_PAUSE_SECONDS))

    async def _call(self, kind: CallerClass, body: bytes, crashing: str) -> None:
        end = trio.current_time() + kind.wait
        is_storming = trio.current_time() < self._storm_until
        attempts = 4 if is_storming else 2
        for _ in range(attempts):
            wait = end - trio.current_time()
            if wait <= 0:
                return
            received = await self._attempt(kind, body, crashing, wait)
            status = 0 if received is None else received.status
            self.statuses[f"{crashing or kind.name} {status}"] += 1
            if status == 200 or not self._may_repeat(kind, status):
                return
            pause = float(received.headers.get(b"retry-after", 0)) if received else 0.0
            if pause > (end - trio.current_time()) / 3:
                return
            await trio.sleep(0.0 if is_storming else pause)

    def _may_repeat(self, kind: CallerClass, status: int) -> bool:
        if status in _STATUSES_NOT_RUN:
            return True
        return kind.kind == "safe" or kind.resumes

    async def _attempt(
        self, kind: CallerClass, body: bytes, crashing: str, wait: float
    ) -> Received | None:
        name = f"a-{next(self._ids)}".encode()
        entry = self.rng.choice(self._entries())
        self.log.sendings[name] = Sending(
            name,
            kind.service,
            trio.current_time(),
            wait,
            kind.max_attempts,
            crashing,
            entry,
        )
        path = f"/{kind.name}/{body.decode().replace(' ', '-')}"
        headers = (
            (b"pepperstep-attempt-id", name),
            (b"pepperstep-deadline-ms", b"%d" % (1000 * wait)),
        )
        with trio.move_on_after(wait):
            return await self.site.request(entry, path, _KEY, *headers, body=body)
        return None

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        faults = [
            self._harm_upstreams,
            self._harm_upstreams,
            self._freeze_upstreams,
            self._crash_upstreams,
            self._kill_entries,
            self._kill_entries,
            self._kill_controls,
            self._stop_hosts,
            self._storm,
        ]
        while True:
            nursery.start_soon(self.rng.choice(faults))
            await trio.sleep(self.rng.expovariate(1 / _FAULT_PAUSE_SECONDS))

    def _draw_upstreams(self) -> list[_PlayedUpstream]:
        service = self.rng.choice([*_UPSTREAMS])
        candidates = [
            each for each in self._upstreams.values() if each.service == service
        ]
        share = self.rng.choice([0.15, 0.5, 1.0])
        count = max(1, round(share * len(candidates)))
        return self.rng.sample(candidates, min(count, len(candidates)))

    async def _harm_upstreams(self) -> None:
        drawn = self._draw_upstreams()
        fault = self.rng.choice(["refuse", "fail", "reset", "hang", "break"])
        share = self.rng.choice([0.1, 0.45, 1.0])
        for upstream in drawn:
            upstream.fault, upstream.fault_share = fault, share
        await trio.sleep(self.rng.uniform(3.0, 12.0))
        for upstream in drawn:
            upstream.fault = ""

    async def _freeze_upstreams(self) -> None:
        drawn = self._draw_upstreams()
        for upstream in drawn:
            upstream.thawed = trio.Event()
        await trio.sleep(self.rng.uniform(1.0, 9.0))
        for upstream in drawn:
            upstream.thawed.set()

    async def _crash_upstreams(self) -> None:
        for upstream in self._draw_upstreams():
            self.crash(upstream)

    async def _kill_entries(self) -> None:
        await self._kill(self._entries(), self.rng.choice([0.16, 0.55, 1.0]))

    async def _kill_controls(self) -> None:
        names = [f"control-{number}" for number in _CONTROL_NUMBERS]
        await self._kill(names, self.rng.choice([0.3, 1.0]))

    async def _kill(self, names: list[str], share: float) -> None:
        drawn = self.rng.sample(names, max(1, round(share * len(names))))
        for name in drawn:
            self._signal(name, signal.SIGKILL)
        await trio.sleep(self.rng.uniform(0.1, 3.0))
        for name in drawn:
            daemon = self.site.daemons[name]
            if daemon.process.poll() is not None:
                self._start_host(name, is_first=False)

    async def _stop_hosts(self) -> None:
        names = self.rng.sample([*self.site.daemons], 1)
        for name in names:
            self._signal(name, signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        for name in names:
            self._signal(name, signal.SIGCONT)

    async def _storm(self) -> None:
        self._load = _LOAD.value * self.rng.choice([1.7, 3.0])
        self._storm_until = trio.current_time() + 5.0
        await trio.sleep(5.0)
        self._load = _LOAD.value


async def _play(folder: Path) -> dict:
    options = {"bounds": _BOUNDS}
    if _DAEMON.value:
        options["daemon"] = Path(_DAEMON.value)
    async with Site.open(folder, **options) as site, trio.open_nursery() as nursery:
        play = _Play(site, random.Random(_SEED.value), nursery)
        await play.start()
        await play.run(_SECONDS.value)
        result = play.result()
        nursery.cancel_scope.cancel()
    return result


def _run(arguments: list[str]) -> None:
    del arguments
    if _DAEMON.value and not Path(_DAEMON.value).is_file():
        raise app.UsageError(f"--daemon: there is no file {_DAEMON.value!r}.")
    if _KEEP.value:
        Path(_KEEP.value).mkdir(parents=True, exist_ok=True)
        result = trio.run(_play, Path(_KEEP.value))
    else:
        with tempfile.TemporaryDirectory() as folder:
            result = trio.run(_play, Path(folder))
    print(json.dumps(result))


def main(arguments: list[str]) -> None:
    """Play once with the given flags."""
    app.run(_run, argv=arguments)


if __name__ == "__main__":
    main(sys.argv)
