"""In-process peer network with partitions, delays, losses and duplicates."""

import random
from collections import Counter
from collections.abc import Callable

import trio
from google.protobuf.message import Message

from pepperstep.errors import Code, Failure
from pepperstep.fakes.timers import FakeTimers
from pepperstep.ports.peers import Handler
from pepperstep.proto import codec

__all__ = ["FakeNetwork", "FakePeers"]

_DELAY_SECONDS = 0.0005


class FakeNetwork:
    """Carries encoded messages between the `FakePeers` of one test."""

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random(0)
        # Bounds of the one-way latency in seconds, drawn uniformly per message.
        self.min_delay = _DELAY_SECONDS
        self.max_delay = _DELAY_SECONDS
        # Fractions of messages that are lost and that are delivered twice.
        self.loss = 0.0
        self.duplication = 0.0
        # Link bandwidth by host, bytes per second in each direction. A host
        # without an entry has no limit.
        self.rates: dict[str, float] = {}
        self._free_at: dict[tuple[str, str], float] = {}
        # Number and bytes of requests and responses sent, by message type.
        self.sent: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()
        # Called with sender, receiver and message before each message is sent.
        self.before: Callable[[str, str, Message], None] | None = None
        self._peers: dict[str, FakePeers] = {}
        self._cuts: set[tuple[str, str]] = set()

    def attach(self, peers: "FakePeers") -> None:
        """Attach a host, replacing an earlier incarnation of the same name."""
        self._peers[peers.name] = peers

    def detach(self, name: str) -> None:
        """Detach a crashed host, which then receives nothing."""
        self._peers.pop(name, None)

    def cut(self, sender: str, receiver: str) -> None:
        """Drop every message from `sender` to `receiver`."""
        self._cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Drop every message between a host and all others."""
        for other in self._peers:
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether messages from `sender` to `receiver` are dropped."""
        return (sender, receiver) in self._cuts

    def has(self, peers: "FakePeers") -> bool:
        """Whether this incarnation of a host is attached."""
        return self._peers.get(peers.name) is peers

    def count(self, sender: str, receiver: str, message: Message, data: bytes) -> None:
        """Count a request or response as sent."""
        if self.before is not None:
            self.before(sender, receiver, message)
        kind = message.DESCRIPTOR.name
        self.sent[kind] += 1
        self.bytes_sent[kind] += len(data)

    async def carry(self, sender: str, receiver: str, size: int) -> "FakePeers | None":
        """Wait until a message of `size` bytes arrives.

        Return the receiver, None if the message is lost or the receiver is gone.
        """
        for host, direction in ((sender, "out"), (receiver, "in")):
            if host in self.rates:
                await self._wait_for_link((host, direction), size / self.rates[host])
        await trio.sleep(self.rng.uniform(self.min_delay, self.max_delay))
        if self.is_cut(sender, receiver) or self.rng.random() < self.loss:
            return None
        return self._peers.get(receiver)

    async def _wait_for_link(self, link: tuple[str, str], seconds: float) -> None:
        """Wait until a link has sent the queued messages and this one."""
        now = trio.current_time()
        self._free_at[link] = max(self._free_at.get(link, now), now) + seconds
        await trio.sleep_until(self._free_at[link])


class FakePeers:
    """Peer network as one host sees it; message handlers run in `nursery`."""

    def __init__(
        self,
        name: str,
        network: FakeNetwork,
        timers: FakeTimers,
        nursery: trio.Nursery,
    ):
        self.name = name
        self._network = network
        self._timers = timers
        self._nursery = nursery
        self._handlers: dict[type, Handler] = {}
        network.attach(self)

    def set_address(self, peer: str, address: str) -> None:
        """Do nothing, as messages are addressed by host name."""

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Set the handler for `message_type`."""
        self._handlers[message_type] = handler

    async def call(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`, or raise `Failure` at the timeout."""
        await self._timers.wait_running()
        data = codec.encode(message, self.name)
        self._network.count(self.name, peer, message, data)
        answer: bytes | None = None
        with trio.move_on_after(timeout):
            answer = await self._exchange(peer, data)
        await self._timers.wait_running()
        if answer is None:
            raise Failure(Code.PEER_UNREACHABLE, f"{peer} doesn't answer.")
        return codec.decode(answer)[0]

    async def call_single(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`, or raise `Failure` at the timeout."""
        return await self.call(peer, message, timeout)

    async def receive(self, data: bytes) -> bytes:
        """Pass an encoded message to its handler and return the encoded answer."""
        await self._timers.wait_running()
        try:
            message, sender = codec.decode(data)
            handler = self._handlers.get(type(message))
            if handler is None:
                raise Failure(Code.NOT_READY, f"No handler for {type(message)}.")
            answer = await handler(message, sender)
        except Failure as failure:
            return codec.encode_failure(failure, self.name)
        data = codec.encode(answer, self.name)
        self._network.count(self.name, sender, answer, data)
        return data

    async def _exchange(self, peer: str, data: bytes) -> bytes:
        receiver = await self._network.carry(self.name, peer, len(data))
        if receiver is None:
            await trio.sleep_forever()
        answers: trio.MemorySendChannel[bytes]
        answers, answer_receiver = trio.open_memory_channel(2)
        copies = 1 + (self._network.rng.random() < self._network.duplication)
        for _ in range(copies):
            receiver.start_handling(data, answers)
        answer = await answer_receiver.receive()
        if await self._network.carry(peer, self.name, len(answer)) is None:
            await trio.sleep_forever()
        return answer

    def start_handling(
        self, data: bytes, answers: trio.MemorySendChannel[bytes]
    ) -> None:
        """Handle a message in a task of this host that outlives the caller's call."""
        self._nursery.start_soon(self._handle_and_answer, data, answers)

    async def _handle_and_answer(
        self, data: bytes, answers: trio.MemorySendChannel[bytes]
    ) -> None:
        answer = await self.receive(data)
        # A host that crashed while handling the message sends no answer.
        if self._network.has(self):
            answers.send_nowait(answer)
