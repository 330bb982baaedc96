"""Ports that publish each external step of a host before it happens.

Every incarnation of a host gets its own disk, upstream client and cloud client. A
call through one of them ends when the incarnation ends, and waits while the host is
paused.
"""

import enum
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import trio

from pepperstep.fakes.storage import FakeDisk
from pepperstep.fakes.timers import FakeTimers
from pepperstep.ports.upstreams import (
    CacheExport,
    EndMark,
    GenerateOrder,
    TokenChunk,
    UpstreamClient,
    UpstreamOrder,
    UpstreamState,
)

__all__ = [
    "PublishingCloud",
    "PublishingDisk",
    "PublishingUpstreams",
    "Step",
    "StepKind",
    "Steps",
]


class StepKind(enum.Enum):
    """Kind of step that a host is about to perform."""

    # Send a message or an answer to another host.
    SEND = enum.auto()
    # Write to its disk.
    WRITE = enum.auto()
    # Open an attempt or call a service.
    OPEN = enum.auto()
    # Receive a chunk, an end mark or a service's answer.
    TAKE = enum.auto()
    # Send an order to an upstream or to the cloud, and receive the reply.
    ORDER = enum.auto()
    REPLY = enum.auto()


@dataclass(frozen=True, slots=True)
class Step:
    """One external step of a host."""

    kind: StepKind
    host: str
    # Attempt id, operation and file, name of a call, or receiver of a message.
    subject: str
    # Message, data, chunk, answer or upstream.
    detail: Any = None


class Steps:
    """Publishes each step to subscribers before it is performed.

    A subscriber may crash the host, which prevents the step, or pause the host,
    which delays the step until the host resumes.
    """

    def __init__(self) -> None:
        self._subscribers: list[Callable[[Step], None]] = []

    def subscribe(self, subscriber: Callable[[Step], None]) -> None:
        """Call `subscriber` with each later step."""
        self._subscribers.append(subscriber)

    def publish(self, step: Step) -> None:
        """Publish a step to all subscribers."""
        for subscriber in list(self._subscribers):
            subscriber(step)


class _PublishingPort:
    """Base of the ports of one incarnation of a host."""

    def __init__(self, host: str, timers: FakeTimers, steps: Steps):
        self._host = host
        self._timers = timers
        self._steps = steps

    async def _publish(self, kind: StepKind, subject: str, detail: Any = None) -> None:
        self._steps.publish(Step(kind, self._host, subject, detail))
        # A subscriber may have crashed the host: then this raises `Cancelled`.
        await trio.lowlevel.checkpoint_if_cancelled()
        await self._timers.wait_running()


class PublishingDisk(_PublishingPort):
    """Disk port that publishes every write."""

    def __init__(self, host: str, timers: FakeTimers, steps: Steps, disk: FakeDisk):
        super().__init__(host, timers, steps)
        self._disk = disk

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return await self._disk.names()

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it doesn't exist."""
        return await self._disk.read(name)

    async def append(self, name: str, data: bytes) -> None:
        """Append `data` to the file."""
        await self._publish(StepKind.WRITE, f"append {name}", data)
        await self._disk.append(name, data)

    async def sync(self, name: str) -> None:
        """Make the file durable."""
        await self._publish(StepKind.WRITE, f"sync {name}")
        await self._disk.sync(name)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content durably."""
        await self._publish(StepKind.WRITE, f"replace {name}", data)
        await self._disk.replace(name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate the file to `size` bytes durably."""
        await self._publish(StepKind.WRITE, f"truncate {name}")
        await self._disk.truncate(name, size)

    async def delete(self, name: str) -> None:
        """Remove the file durably."""
        await self._publish(StepKind.WRITE, f"delete {name}")
        await self._disk.delete(name)


class PublishingUpstreams(_PublishingPort):
    """Upstream client that publishes opened attempts, chunks and orders."""

    def __init__(
        self, host: str, timers: FakeTimers, steps: Steps, upstreams: UpstreamClient
    ):
        super().__init__(host, timers, steps)
        self._upstreams = upstreams

    @asynccontextmanager
    async def generate(
        self, upstream, order: GenerateOrder
    ) -> AsyncIterator[AsyncIterator[TokenChunk | EndMark]]:
        """Open an attempt and yield the iterator over its chunks."""
        await self._publish(StepKind.OPEN, order.attempt_id, upstream)
        async with self._upstreams.generate(upstream, order) as chunks:
            published_chunks = self._publish_chunks(order.attempt_id, chunks)
            try:
                yield published_chunks
            finally:
                await published_chunks.aclose()

    async def cancel(self, upstream, attempt_id: str) -> bool:
        """Cancel an attempt."""
        await self._timers.wait_running()
        return await self._upstreams.cancel(upstream, attempt_id)

    async def export_cache(self, upstream, attempt_id: str, target) -> CacheExport:
        """Cancel an attempt and send its KV cache to `target`."""
        await self._timers.wait_running()
        return await self._upstreams.export_cache(upstream, attempt_id, target)

    async def call_service(self, upstream, request, attempt_id: str):
        """Call a plain service."""
        await self._publish(StepKind.OPEN, attempt_id, upstream)
        answer = await self._upstreams.call_service(upstream, request, attempt_id)
        await self._publish(StepKind.TAKE, attempt_id, answer)
        return answer

    async def send_order(self, upstream, order: UpstreamOrder) -> None:
        """Send an order to an upstream."""
        await self._publish(StepKind.ORDER, "send_order", order)
        await self._upstreams.send_order(upstream, order)
        await self._publish(StepKind.REPLY, "send_order", order)

    async def read_state(self, upstream) -> UpstreamState:
        """Return an engine's current state."""
        await self._timers.wait_running()
        return await self._upstreams.read_state(upstream)

    async def _publish_chunks(
        self, attempt_id: str, chunks: AsyncIterator[TokenChunk | EndMark]
    ) -> AsyncIterator[TokenChunk | EndMark]:
        async for chunk in chunks:
            await self._publish(StepKind.TAKE, attempt_id, chunk)
            yield chunk


class PublishingCloud(_PublishingPort):
    """Cloud client that publishes starts and stops of cloud hosts."""

    _PUBLISHED_METHODS = ("start_host", "stop_host")

    def __init__(self, host: str, timers: FakeTimers, steps: Steps, cloud: Any):
        super().__init__(host, timers, steps)
        self._cloud = cloud

    def __getattr__(self, name: str):
        method = getattr(self._cloud, name)

        async def call(*arguments):
            await self._timers.wait_running()
            if name in self._PUBLISHED_METHODS:
                await self._publish(StepKind.ORDER, name, arguments)
            result = await method(*arguments)
            if name in self._PUBLISHED_METHODS:
                await self._publish(StepKind.REPLY, name, result)
            await self._timers.wait_running()
            return result

        return call
