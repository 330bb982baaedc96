"""Control and entry hosts of the relay in one process, in virtual time."""

import json
import random
from collections.abc import Collection
from contextlib import asynccontextmanager

import trio

from pepperstep.coordination import Announcement
from pepperstep.fakes import FakeDisk, FakeNetwork, FakePeers, FakeTimers
from pepperstep.fakes.relaying import FakeConnector, FakeExchange
from pepperstep.platform import PlatformWire, TableDecoder
from pepperstep.ports.exchange import RequestHead
from pepperstep.programs.control_host import ControlHost
from pepperstep.programs.entry_host import EntryHost
from pepperstep.programs.relay_ports import RelayPorts
from pepperstep.programs.relay_settings import (
    ControlRole,
    EntryRole,
    RelayBounds,
    RelaySettings,
)
from pepperstep.scheduling import SchedulingSettings

KEY = "key-of-desk"


def document(version: int, **changes) -> bytes:
    """Return an operators' document with a route of each kind."""
    kinds = {
        "safe": {"kind": "safe", "max_attempts": 2, "service": "plain"},
        "unsafe": {"kind": "unsafe", "max_attempts": 1, "service": "plain"},
        "stream": {"kind": "stream", "max_attempts": 1, "service": "model"},
        "resumable": {
            "kind": "stream",
            "max_attempts": 2,
            "service": "model",
            "stream_resume": True,
        },
    }
    routes = [
        {"name": name, "host": "a.example", "path_prefix": f"/{name}/"}
        | {"timeout_ms": 2000, "target_latency_ms": 500}
        | kind
        for name, kind in kinds.items()
    ]
    table = {
        "version": version,
        "routes": routes,
        "services": [{"name": "plain"}, {"name": "model"}],
        "tenants": [{"name": "desk", "api_keys": [KEY]}],
    }
    return json.dumps(table | changes).encode()


def request(path: str, *headers: tuple[bytes, bytes], key: str = KEY) -> RequestHead:
    """Return a caller's request."""
    common = [
        (b"host", b"a.example"),
        (b"pepperstep-attempt-id", b"id-1"),
        (b"pepperstep-deadline-ms", b"1500"),
        (b"authorization", f"Bearer {key}".encode()),
    ]
    return RequestHead(b"POST", path.encode(), (*common, *headers))


class World:
    """Hosts by name; each incarnation of a host runs in its own nursery."""

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int = 0,
        bounds: RelayBounds | None = None,
        scheduling: SchedulingSettings | None = None,
    ):
        self.rng = random.Random(seed)
        self.bounds = bounds or RelayBounds()
        self.scheduling = scheduling
        self.network = FakeNetwork(self.rng)
        self.connector = FakeConnector(nursery=nursery)
        self.disks: dict[str, FakeDisk] = {}
        self.controls: dict[str, ControlHost] = {}
        self.entries: dict[str, EntryHost] = {}
        self.timers: dict[str, FakeTimers] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery = nursery

    async def start_control(
        self, name: str, seeds: tuple[str, ...], *, is_first: bool, losses: int = 1
    ) -> ControlHost:
        """Start a control host on its earlier disk, or else on an empty one."""
        disk = self.disks.setdefault(name, FakeDisk())
        role = ControlRole(
            "10.0.0.1:1", "data", forms_group=is_first, tolerated_losses=losses
        )
        settings = RelaySettings(
            name, "z1", "r1", name, seeds, control=role, bounds=self.bounds
        )
        host = await self._start(
            name, lambda ports: ControlHost(settings, ports), storage=disk
        )
        self.controls[name] = host
        return host

    async def start_entry(
        self,
        name: str,
        seeds: tuple[str, ...],
        wall_offset: float = 0.0,
        capacity: float = 0.0,
    ) -> EntryHost:
        """Start an entry host whose clock may have an offset, in seconds.

        `capacity` is its processor capacity in cores, 0 if unknown.
        """
        role = EntryRole(f"{name}:callers", forward_address=f"{name}:forwarded")
        settings = RelaySettings(
            name,
            "z1",
            "r1",
            name,
            seeds,
            entry=role,
            bounds=self.bounds,
            scheduling=self.scheduling,
            capacity=capacity,
        )
        host = await self._start(
            name, lambda ports: EntryHost(settings, ports), wall_offset=wall_offset
        )
        self.entries[name] = host
        self.connector.servers[role.forward_address] = host.forwarded.handle
        return host

    def kill(self, name: str, *, is_disk_lost: bool = False) -> None:
        """Stop a host at once."""
        self._scopes.pop(name).cancel()
        self.network.detach(name)
        self.controls.pop(name, None)
        self.entries.pop(name, None)
        self.connector.servers.pop(f"{name}:forwarded", None)
        if is_disk_lost:
            del self.disks[name]
        elif name in self.disks:
            self.disks[name].crash()

    async def terminate(self, name: str, *, is_disk_lost: bool = False) -> None:
        """Stop a control host by a signal, and kill it after the grace period."""
        with trio.move_on_after(self.bounds.grace_seconds):
            await self.controls[name].leave()
        self.kill(name, is_disk_lost=is_disk_lost)

    def cut_off(self, name: str, others: Collection[str] = ()) -> None:
        """Cut a host off from others, by default all control hosts, both ways."""
        for other in others or self.controls:
            if other != name:
                self.network.cut(name, other)
                self.network.cut(other, name)

    async def put(self, version: int, data: bytes | None = None) -> None:
        """Send an operators' document to random control hosts until one accepts it."""
        data = data or document(version)
        while True:
            host = self.rng.choice(sorted(self.controls))
            try:
                await self.controls[host].put_table(version, data)
            except Exception:  # Any refusal: the operator asks the next host.
                await trio.sleep(0.1)
            else:
                return

    async def announce(self, host: str, upstream: str, service: str, **facts) -> None:
        """Send an upstream's announcement to one control host."""
        defaults = {"address": f"{upstream}:80", "zone": "z1", "slots": 4}
        defaults |= {"sequence": 1} | facts
        announcement = Announcement(upstream, service, **defaults)
        await self.controls[host].receive_announcement(announcement)

    async def ask(self, entry: str, head: RequestHead, body=b"") -> FakeExchange:
        """Send a caller's request and return the exchange with its answer."""
        exchange = FakeExchange(head, body, trio.current_time())
        await self.entries[entry].relay.handle(exchange)
        return exchange

    @property
    def leader(self) -> str:
        """Name of the control host that leads, "" if there is none."""
        names = [name for name, host in self.controls.items() if is_leader(host)]
        return names[0] if names else ""

    async def _start(self, name: str, make, storage=None, wall_offset: float = 0.0):
        timers = FakeTimers(random.Random(self.rng.random()), wall_offset)
        peers_nursery = await self._open_life(name)
        ports = RelayPorts(
            timers=timers,
            peers=FakePeers(name, self.network, timers, peers_nursery),
            rng=random.Random(self.rng.random()),
            decode=TableDecoder().decode_in_steps,
            connector=self.connector.for_host(name),
            wire=PlatformWire(),
            storage=storage,
        )
        host = make(ports)
        self.timers[name] = timers
        await peers_nursery.start(host.run)
        return host

    async def _open_life(self, name: str) -> trio.Nursery:
        async def live(task_status) -> None:
            async with trio.open_nursery() as nursery:
                self._scopes[name] = nursery.cancel_scope
                task_status.started(nursery)
                await trio.sleep_forever()

        return await self._nursery.start(live)


def is_leader(host: ControlHost) -> bool:
    """Whether a control host leads."""
    return host.agreement.is_leader


@asynccontextmanager
async def open_world(
    controls: int = 3,
    entries: int = 2,
    seed: int = 0,
    losses: int = 1,
    bounds: RelayBounds | None = None,
    scheduling: SchedulingSettings | None = None,
):
    """Yield a world with started hosts and a first document in force.

    `losses` is the number of control hosts that it tolerates losing with their disks.
    """
    async with trio.open_nursery() as nursery:
        world = World(nursery, seed, bounds, scheduling)
        names = [f"c{number}:1" for number in range(controls)]
        seeds = tuple(names[:3])
        for name in names:
            await world.start_control(name, seeds, is_first=True, losses=losses)
        for number in range(entries):
            await world.start_entry(f"e{number}:1", seeds)
        await world.put(1)
        await trio.sleep(1.0)
        yield world
        nursery.cancel_scope.cancel()
