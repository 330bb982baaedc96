"""A router over upstreams that a test sets, on virtual time."""

import random
from dataclasses import replace

import trio

from pepperstep.configuration import Configuration
from pepperstep.configuration.schema import Deployment, Limits, Workspace
from pepperstep.entities import (
    Load,
    ModelKey,
    Priority,
    Request,
    RequestKind,
    Upstream,
    UpstreamKind,
)
from pepperstep.fakes import FakeTimers
from pepperstep.ports.upstreams import EndMark
from pepperstep.routing import Router, RoutingSettings

KEY = ModelKey("pool-7b", "", "1")
NONE = frozenset()


class View:
    """Upstreams as the test sets them."""

    def __init__(self):
        self.upstreams: dict[str, Upstream] = {}

    def set(self, name: str, **changes) -> None:
        """Add an upstream, or announce a change of it."""
        before = self.upstreams.get(name) or Upstream(
            name, 1, name, UpstreamKind.ENGINE, name, "makati-a", models={KEY}, slots=4
        )
        self.upstreams[name] = replace(before, **changes)

    def report(self, name: str, running: int, waiting: int = 0, **changes) -> None:
        """Announce a load."""
        self.set(name, load=replace(Load(running, waiting), **changes))

    def candidates(self) -> list[Upstream]:
        """Return those that aren't leaving."""
        return [each for each in self.upstreams.values() if not each.is_leaving]


class Site:
    """One entry host's router, with engines a, b, c, ..."""

    def __init__(
        self,
        engines: int = 2,
        slots: int = 4,
        limits: Limits | None = None,
        workspaces: dict[str, Workspace] | None = None,
        hosts: int = 1,
        **settings,
    ):
        self.timers = FakeTimers()
        self.view = View()
        for name in "abcdefghijkl"[:engines]:
            self.view.set(name, slots=slots)
        configuration = Configuration(
            limits=limits or Limits(),
            workspaces=workspaces or {},
            deployments={"pool": Deployment("pool-7b", ("offices",))},
        )
        self.router = Router(
            self.view,
            self.timers,
            settings=RoutingSettings(**({"view_period": 0.0} | settings)),
            rng=random.Random(5),
            configuration=lambda: configuration,
            zone="makati-a",
            region="ncr",
            host_count=lambda: hosts,
        )
        self.started: list[str] = []
        self._count = 0

    def request(self, **changes) -> Request:
        """Return the next request."""
        self._count += 1
        values = {
            "id": f"r{self._count}",
            "workspace": "offices",
            "kind": RequestKind.CHAT,
            "target": "pool",
            "priority": Priority.STANDARD,
            "deadline": self.timers.wall() + 100,
            "model_key": KEY,
            "prompt": f"Quote {self._count}. " * 40,
            "max_tokens": 50,
        }
        return Request(**(values | changes))

    async def place(self, request: Request | None = None, **options):
        """Return a placement that must be there at once."""
        with trio.fail_after(0.001):
            request = request or self.request()
            return await self.router.acquire(request, 0, NONE, **options)

    async def answer(
        self,
        request: Request | None = None,
        hold: float = 1.0,
        first: float = 0.05,
        **options,
    ) -> str:
        """Answer a request whole after `hold` seconds; return its upstream."""
        request = request or self.request()
        placement = await self.router.acquire(request, 0, NONE, **options)
        self.started.append(request.id)
        with placement:
            await trio.sleep(first)
            placement.record_tokens(1)
            await trio.sleep(hold - first)
            placement.record_answer(EndMark("", request.max_tokens, "length"))
        return placement.upstream.name

    async def fail(self, name: str, excluded=NONE, **options) -> str:
        """Run one attempt, which is lost if it comes to `name`."""
        request = options.pop("request", None) or self.request()
        placement = await self.router.acquire(request, 0, excluded, **options)
        with placement:
            await trio.sleep(0.05)
            if placement.upstream.name == name:
                placement.record_loss()
            else:
                placement.record_tokens(1)
                placement.record_answer(EndMark("", 50, "length"))
        return placement.upstream.name
