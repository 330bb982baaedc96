"""Fakes of model engines and plain services in virtual time."""

from collections import Counter, OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import trio
import xxhash

from pepperstep.entities import (
    Load,
    ModelKey,
    Request,
    Role,
    ServiceAnswer,
    Upstream,
    UpstreamKind,
)
from pepperstep.ports.upstreams import (
    CacheExport,
    EndMark,
    GenerateOrder,
    OrderKind,
    TokenChunk,
    UpstreamLost,
    UpstreamOrder,
    UpstreamRefused,
    UpstreamState,
)

__all__ = ["FakeEngine", "FakeService", "FakeUpstreams", "answer_of", "answer_token"]

_CHARACTERS_PER_TOKEN = 4
_BLOCK_CHARACTERS = 256
_BYTES_PER_TOKEN = 131_072
_LATENCY_SECONDS = 0.0005


def answer_token(key: ModelKey, seed: int, prompt: str, position: int) -> str:
    """Return the token at `position` of the deterministic answer."""
    text = f"{key.model}/{key.adapter}/{key.version}/{seed}/{prompt}/{position}"
    return f"{xxhash.xxh32_intdigest(text.encode()):08x} "


def answer_of(request: Request) -> list[str]:
    """Return the tokens of the deterministic answer to a request."""
    return [
        answer_token(request.model_key, request.seed, request.prompt, position)
        for position in range(request.max_tokens)
    ]


class _Attempt:
    """Attempt in progress on an engine."""

    def __init__(self, order: GenerateOrder):
        self.order = order
        self.position = len(order.prefix)
        self.is_ended = False
        # Set when the engine crashes or the attempt is cancelled.
        self.interrupted = trio.Event()

    @property
    def tokens(self) -> int:
        """Number of tokens in the KV cache of the attempt."""
        return len(self.order.prompt) // _CHARACTERS_PER_TOKEN + self.position


class FakeEngine:
    """Model engine with continuous batching and a prefix cache."""

    def __init__(
        self,
        name: str,
        zone: str,
        key: ModelKey,
        *,
        region: str = "region",
        slots: int = 16,
        prefill_seconds: float = 0.0002,
        decode_seconds: float = 0.02,
        cache_blocks: int = 2000,
        export_rate: float = 1e9,
        checks_fencing: bool = True,
    ):
        self.upstream = Upstream(
            name=name,
            epoch=1,
            address=name,
            kind=UpstreamKind.ENGINE,
            host=f"host-of-{name}",
            zone=zone,
            region=region,
            models=frozenset({key}),
            slots=slots,
            checks_fencing=checks_fencing,
        )
        self.prefill_seconds = prefill_seconds
        self.decode_seconds = decode_seconds
        self.export_rate = export_rate
        # Text in a prompt that crashes the engine.
        self.poison = ""
        # Extra seconds per token.
        self.slow_seconds = 0.0
        # Number of tokens after which a stream breaks.
        self.cut_after: int | None = None
        # Chunks carry the id of another attempt.
        self.is_crossed = False
        # Each chunk is sent twice.
        self.is_doubled = False
        # Decoding stalls while the connections stay open.
        self.is_silent = False
        self.is_alive = True
        self.fence = 0
        self.last_order = ""
        # Tokens prefilled without a cache hit, and number of opens by attempt id.
        self.computed_tokens = 0
        self.attempts: Counter[str] = Counter()
        self._running: dict[str, _Attempt] = {}
        self._imported: dict[str, int] = {}
        self._slots = trio.CapacityLimiter(slots)
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cache_blocks = cache_blocks

    @property
    def name(self) -> str:
        """Name of the engine."""
        return self.upstream.name

    @property
    def load(self) -> Load:
        """Current load."""
        waiting = self._slots.statistics().tasks_waiting
        return Load(
            len(self._running) - waiting,
            waiting,
            self.prefill_seconds,
            self.decode_seconds,
        )

    def die(self) -> None:
        """Crash: break all streams and refuse connections."""
        self.is_alive = False
        for attempt in self._running.values():
            attempt.interrupted.set()

    def start_again(self) -> None:
        """Restart with a new epoch and an empty cache."""
        self.is_alive = True
        self._cache.clear()
        self._imported.clear()
        self.upstream = replace(
            self.upstream, epoch=self.upstream.epoch + 1, is_leaving=False
        )

    def leave(self) -> None:
        """Refuse new attempts, and announce that the engine is leaving."""
        self.upstream = replace(self.upstream, is_leaving=True)

    async def open(self, order: GenerateOrder) -> _Attempt:
        """Accept an attempt, or raise `UpstreamRefused`."""
        await trio.sleep(_LATENCY_SECONDS)
        if not self.is_alive:
            raise UpstreamRefused("No connection.")
        if self.upstream.is_leaving or order.model_key not in self.upstream.models:
            raise UpstreamRefused("Leaving, or the model isn't loaded.")
        self.attempts[order.attempt_id] += 1
        attempt = _Attempt(order)
        self._running[order.attempt_id] = attempt
        if self.poison and self.poison in order.prompt:
            await trio.sleep(self.decode_seconds)
            self.die()
        return attempt

    async def stream(self, attempt: _Attempt) -> AsyncIterator[TokenChunk | EndMark]:
        """Yield the chunks and the end mark of an attempt, or raise `UpstreamLost`."""
        async with self._slots:
            computed, cached = await self._prefill(attempt)
            order = attempt.order
            sent = 0
            while attempt.position < order.max_tokens:
                await self._step(attempt)
                position = attempt.position
                token = answer_token(
                    order.model_key, order.seed, order.prompt, position
                )
                attempt.position += 1
                sent += 1
                if self.cut_after is not None and sent > self.cut_after:
                    raise UpstreamLost("Connection lost.")
                owner = "another" if self.is_crossed else order.attempt_id
                for _ in range(1 + self.is_doubled):
                    yield TokenChunk(owner, position, (token,))
            attempt.is_ended = True
            yield EndMark(
                order.attempt_id, attempt.position, "length", computed, cached
            )

    def close(self, attempt: _Attempt) -> None:
        """Remove an attempt, whether or not it was completed."""
        self._running.pop(attempt.order.attempt_id, None)

    def cancel(self, attempt_id: str) -> _Attempt | None:
        """Cancel an attempt and return it, None if it isn't running."""
        attempt = self._running.get(attempt_id)
        if attempt is not None:
            attempt.interrupted.set()
        return attempt

    def import_cache(self, attempt_id: str, tokens: int) -> None:
        """Store the KV cache of an attempt exported by another engine."""
        self._imported[attempt_id] = tokens

    def take_order(self, order: UpstreamOrder) -> None:
        """Execute an order, or raise `UpstreamRefused` for a stale fencing number."""
        if self.upstream.checks_fencing and order.fence < self.fence:
            raise UpstreamRefused("Old fencing number.")
        self.fence = order.fence
        self.last_order = order.id
        models = set(self.upstream.models)
        if order.kind is OrderKind.LOAD:
            models.add(order.model_key)
        elif order.kind is OrderKind.UNLOAD:
            models.discard(order.model_key)
        elif order.kind is OrderKind.DRAIN:
            self.leave()
        role = order.role or self.upstream.role
        self.upstream = replace(self.upstream, models=frozenset(models), role=role)

    async def _prefill(self, attempt: _Attempt) -> tuple[int, int]:
        order = attempt.order
        if self._imported.pop(order.imported_attempt, None) is not None:
            return 0, attempt.tokens
        cached = self._cached_tokens(order.prompt)
        computed = max(1, attempt.tokens - cached)
        self.computed_tokens += computed
        await self._sleep(attempt, computed * self.prefill_seconds)
        return computed, cached

    async def _step(self, attempt: _Attempt) -> None:
        await self._sleep(attempt, self.decode_seconds + self.slow_seconds)
        while self.is_silent:
            await self._sleep(attempt, 1.0)

    async def _sleep(self, attempt: _Attempt, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await attempt.interrupted.wait()
        if attempt.interrupted.is_set():
            raise UpstreamLost("Connection lost.")

    def _cached_tokens(self, prompt: str) -> int:
        """Return the number of cached prompt tokens, and cache the whole prompt."""
        cached, digest, is_known = 0, 0, True
        for start in range(0, len(prompt) - _BLOCK_CHARACTERS + 1, _BLOCK_CHARACTERS):
            block = prompt[start : start + _BLOCK_CHARACTERS].encode()
            digest = xxhash.xxh3_64_intdigest(block, seed=digest)
            is_known = is_known and digest in self._cache
            cached += is_known
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > self._cache_blocks:
            self._cache.popitem(last=False)
        return cached * _BLOCK_CHARACTERS // _CHARACTERS_PER_TOKEN


class FakeService:
    """Plain service that counts the runs of each request body."""

    def __init__(self, name: str, service: str, zone: str, seconds: float = 0.05):
        self.upstream = Upstream(
            name=name,
            epoch=1,
            address=name,
            kind=UpstreamKind.SERVICE,
            host=f"host-of-{name}",
            zone=zone,
            region="region",
            service=service,
        )
        self.seconds = seconds
        self.is_alive = True
        self.fence = 0
        self.last_order = ""
        # Point of the next call at which the service crashes: "before", "during"
        # or "after" the run, "" for none.
        self.dies = ""
        self.runs: Counter[bytes] = Counter()

    async def call(self, request: Request) -> ServiceAnswer:
        """Run a request and return its answer."""
        await trio.sleep(_LATENCY_SECONDS)
        if not self.is_alive or self.dies == "before":
            self.is_alive = False
            raise UpstreamRefused("No connection.")
        self.runs[request.body] += 1
        await trio.sleep(self.seconds)
        if not self.is_alive or self.dies:
            self.is_alive = False
            raise UpstreamLost("Connection lost.")
        return ServiceAnswer(200, "application/json", b"done " + request.body)


class FakeUpstreams:
    """Upstream client and registry of all fake upstreams."""

    def __init__(self, upstreams: list[FakeEngine | FakeService] = ()):
        self.all = {each.upstream.name: each for each in upstreams}

    @property
    def engines(self) -> list[FakeEngine]:
        """All model engines, whether alive or not."""
        return [each for each in self.all.values() if isinstance(each, FakeEngine)]

    def add(self, upstream: FakeEngine | FakeService) -> None:
        """Add an upstream."""
        self.all[upstream.upstream.name] = upstream

    def candidates(self) -> list[Upstream]:
        """Return the live upstreams that aren't leaving, engines with their load."""
        return [
            replace(each.upstream, load=each.load)
            if isinstance(each, FakeEngine)
            else each.upstream
            for each in self.all.values()
            if each.is_alive and not each.upstream.is_leaving
        ]

    @asynccontextmanager
    async def generate(
        self, upstream: Upstream, order: GenerateOrder
    ) -> AsyncIterator[AsyncIterator[TokenChunk | EndMark]]:
        """Open an attempt and yield the iterator over its chunks."""
        engine = self.all[upstream.name]
        attempt = await engine.open(order)
        try:
            chunks = engine.stream(attempt)
            try:
                yield chunks
            finally:
                await chunks.aclose()
        finally:
            engine.close(attempt)

    async def cancel(self, upstream: Upstream, attempt_id: str) -> bool:
        """Cancel an attempt."""
        await trio.sleep(_LATENCY_SECONDS)
        engine = self.all[upstream.name]
        if not engine.is_alive:
            raise UpstreamRefused("No connection.")
        engine.cancel(attempt_id)
        return True

    async def export_cache(
        self, upstream: Upstream, attempt_id: str, target: Upstream
    ) -> CacheExport:
        """Cancel an attempt and send its KV cache to `target`."""
        engine = self.all[upstream.name]
        attempt = engine.cancel(attempt_id) if engine.is_alive else None
        if attempt is None:
            raise UpstreamRefused("No such attempt.")
        tokens = attempt.tokens
        size = tokens * _BYTES_PER_TOKEN
        await trio.sleep(size / engine.export_rate)
        if not engine.is_alive or not self.all[target.name].is_alive:
            raise UpstreamLost("Connection lost.")
        self.all[target.name].import_cache(attempt_id, tokens)
        return CacheExport(tokens, size)

    async def call_service(
        self, upstream: Upstream, request: Request, attempt_id: str
    ) -> ServiceAnswer:
        """Call a plain service."""
        return await self.all[upstream.name].call(request)

    async def send_order(self, upstream: Upstream, order: UpstreamOrder) -> None:
        """Send an order to an engine."""
        await trio.sleep(_LATENCY_SECONDS)
        engine = self.all[upstream.name]
        if not engine.is_alive:
            raise UpstreamRefused("No connection.")
        engine.take_order(order)

    async def read_state(self, upstream: Upstream) -> UpstreamState:
        """Return an engine's current state."""
        await trio.sleep(_LATENCY_SECONDS)
        engine = self.all[upstream.name]
        if not engine.is_alive:
            raise UpstreamRefused("No connection.")
        now = engine.upstream
        return UpstreamState(
            now.epoch,
            now.models,
            now.role or Role.MIXED,
            now.is_leaving,
            engine.fence,
            engine.last_order,
        )
