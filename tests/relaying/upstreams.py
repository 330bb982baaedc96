"""Worlds with upstreams whose answers a test scripts."""

from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import Protocol

import trio

from pepperstep.fakes.relaying import Reply, Sent
from tests.relaying.world import open_world

__all__ = ["SERVICES", "Answering", "serving"]

SERVICES = ("plain", "model")


class Answering(Protocol):
    """An upstream's behaviour."""

    def answer(self, sent: Sent) -> Reply:
        """Return the answer to a request."""


@asynccontextmanager
async def serving(
    upstreams: Sequence[Answering],
    entries: int = 5,
    controls: int = 3,
    services: Sequence[str] = SERVICES,
):
    """Open a world in which all hosts know the upstreams.

    Each behaviour in `upstreams` becomes one upstream of each service, named by the
    service and its position, such as `plain0`.
    """
    async with open_world(controls=controls, entries=entries) as world:
        for number, upstream in enumerate(upstreams):
            for service in services:
                name = f"{service}{number}"
                world.connector.scripts[f"{name}:80"] = upstream.answer
                await world.announce("c0:1", name, service)
        await trio.sleep(3.0)
        yield world
