"""Stand-in for a model engine.

The engine uses continuous batching and a bounded prefix cache, and generates the
text that `standins.text` defines. Faults are set by flags, or by
`POST /standin/v1/faults` with the fields of `Faults`.
"""

import os
import time
from collections import OrderedDict

import httpcore
import msgspec
import trio
import xxhash
from absl import app, flags

from standins.announcing import announce
from standins.text import answer_token, count_tokens
from standins.web import Application, Reply, json_reply, serve

__all__ = ["Engine", "Faults", "main"]

_NAME = flags.DEFINE_string("name", "engine", "Name that it announces.")
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9100", "Address to listen on.")
_ENTRY_HOSTS = flags.DEFINE_list(
    "entry_hosts", [], "Base URLs of entry hosts to announce at."
)
_KEY = flags.DEFINE_string("key", "", "Key with which it announces itself.")
_HOST = flags.DEFINE_string("host", "", "Cloud host it runs on; the name by default.")
_ZONE = flags.DEFINE_string("zone", "zone-a", "Availability zone.")
_REGION = flags.DEFINE_string("region", "region", "Region.")
_MODELS = flags.DEFINE_list(
    "models", [], "Loaded models, as MODEL[:ADAPTER[:VERSION]]."
)
_SLOTS = flags.DEFINE_integer("slots", 16, "Requests in a batch.")
_PREFILL = flags.DEFINE_float("prefill_seconds", 0.0002, "Seconds to prefill a token.")
_DECODE = flags.DEFINE_float("decode_seconds", 0.02, "Seconds for a decode step.")
_CACHE_TOKENS = flags.DEFINE_integer("cache_tokens", 200_000, "Size of the cache.")
_CHECKS_FENCING = flags.DEFINE_bool("checks_fencing", True, "Refuse old orders.")
_HEARTBEAT = flags.DEFINE_float("heartbeat_seconds", 1.0, "Period of announcements.")
_EXPORT_RATE = flags.DEFINE_float("export_rate", 1e9, "Bytes a second of KV export.")
_POISON = flags.DEFINE_string("poison", "", "A prompt with this text kills it.")

BLOCK_BYTES = 256
_BYTES_PER_TOKEN = 131_072


class Faults(msgspec.Struct):
    """Faults that can be set while the engine runs."""

    # Extra seconds per decode step.
    slow_seconds: float = 0.0
    # Position in the answer at which streams end without an end mark, 0 for none.
    cut_after: int = 0
    # Send each chunk twice.
    double: bool = False
    # Omit every third chunk.
    gap: bool = False
    # Put another attempt's id into each chunk.
    cross: bool = False
    # Answer with status 500.
    fail: bool = False
    # Accept connections but never answer.
    hang: bool = False


class _Order(msgspec.Struct):
    attempt_id: str
    model_key: dict[str, str]
    prompt: str
    prefix: list[str]
    max_tokens: int
    seed: int
    priority: int
    imported_attempt: str = ""


class _Attempt:
    """Attempt that runs or waits for a slot."""

    def __init__(self, order: _Order):
        self.order = order
        self.position = len(order.prefix)
        self.scope = trio.CancelScope()
        self.ended = trio.Event()

    @property
    def tokens(self) -> int:
        """Number of tokens in the KV cache of the attempt."""
        return count_tokens(self.order.prompt) + self.position


class Engine:
    """Model engine with its models, attempts, cache and faults."""

    def __init__(self) -> None:
        self.epoch = time.time_ns() // 1_000_000
        self.models = [_parse_model(text) for text in _MODELS.value]
        self.role = "mixed"
        self.is_leaving = False
        self.fence = 0
        self.last_order = ""
        self.faults = Faults()
        self.computed_tokens = 0
        self._attempts: dict[str, _Attempt] = {}
        self._waiting = 0
        self._slots = trio.CapacityLimiter(_SLOTS.value)
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._imported: dict[str, int] = {}

    def application(self) -> Application:
        """Return the HTTP interface."""
        application = Application()
        application.add("POST", "/engine/v1/generate", self._generate)
        application.add("POST", "/engine/v1/cancel", self._cancel)
        application.add("POST", "/engine/v1/kv/export", self._export)
        application.add("POST", "/engine/v1/kv/import", self._import)
        application.add("POST", "/upstream/v1/orders", self._execute_order)
        application.add("POST", "/upstream/v1/state", self._read_state)
        application.add("POST", "/standin/v1/faults", self._set_faults)
        application.add("GET", "/standin/v1/counts", self._read_counts)
        return application

    def describe(self) -> dict:
        """Return the announcement without its sequence number."""
        return {
            "name": _NAME.value,
            "epoch": self.epoch,
            "address": _ADDRESS.value,
            "kind": "engine",
            "host": _HOST.value or _NAME.value,
            "zone": _ZONE.value,
            "region": _REGION.value,
            "models": self.models,
            "slots": _SLOTS.value,
            "role": self.role,
            "load": {
                "running": len(self._attempts) - self._waiting,
                "waiting": self._waiting,
                "prefill_seconds": _PREFILL.value,
                "decode_seconds": _DECODE.value,
            },
            "is_leaving": self.is_leaving,
            "checks_fencing": _CHECKS_FENCING.value,
        }

    async def _generate(self, body: bytes, scope: dict) -> Reply | None:
        if self.faults.hang:
            await trio.sleep_forever()
        if self.faults.fail:
            return json_reply({"error": "fault"}, 500)
        order = msgspec.json.decode(body, type=_Order)
        if order.model_key not in self.models:
            return json_reply({"error": "model is not loaded"}, 409)
        if self.is_leaving:
            return json_reply({"error": "leaving"}, 503)
        if _POISON.value and _POISON.value in order.prompt:
            os._exit(1)
        attempt = _Attempt(order)
        self._attempts[order.attempt_id] = attempt
        try:
            with attempt.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_on_disconnect, scope, attempt.scope)
                    await self._run_attempt(attempt, scope["send"])
                    nursery.cancel_scope.cancel()
        finally:
            del self._attempts[order.attempt_id]
            attempt.ended.set()
        return None

    async def _run_attempt(self, attempt: _Attempt, send) -> None:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            computed, cached = await self._prefill(attempt)
            await self._decode(attempt, send, computed, cached)
        finally:
            self._slots.release()

    async def _prefill(self, attempt: _Attempt) -> tuple[int, int]:
        order = attempt.order
        if self._imported.pop(order.imported_attempt, None) is not None:
            return 0, attempt.tokens
        cached = self._cached_tokens(order.prompt)
        computed = attempt.tokens - cached
        self.computed_tokens += computed
        await trio.sleep(computed * _PREFILL.value)
        return computed, cached

    async def _decode(self, attempt: _Attempt, send, computed: int, cached: int):
        order = attempt.order
        await send(_STREAM_START)
        while attempt.position < order.max_tokens:
            await trio.sleep(_DECODE.value + self.faults.slow_seconds)
            position = attempt.position
            token = answer_token(
                **order.model_key,
                seed=order.seed,
                prompt=order.prompt,
                position=position,
            )
            attempt.position += 1
            if self.faults.cut_after and attempt.position > self.faults.cut_after:
                return
            if self.faults.gap and position % 3 == 2:
                continue
            owner = "another" if self.faults.cross else order.attempt_id
            chunk = {"attempt_id": owner, "position": position, "tokens": [token]}
            for _ in range(1 + self.faults.double):
                await _send_event(send, chunk, True)
        mark = {
            "attempt_id": order.attempt_id,
            "count": attempt.position,
            "finish": "length",
            "computed_tokens": computed,
            "cached_tokens": cached,
        }
        await _send_event(send, mark, False)

    def _cached_tokens(self, prompt: str) -> int:
        """Return the number of cached prompt tokens, and cache the whole prompt."""
        data = prompt.encode()
        cached = 0
        digest = 0
        is_known = True
        for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
            block = data[start : start + BLOCK_BYTES]
            digest = xxhash.xxh3_64_intdigest(block, seed=digest)
            is_known = is_known and digest in self._cache
            cached += is_known
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        tokens_per_block = BLOCK_BYTES // 4
        while len(self._cache) * tokens_per_block > _CACHE_TOKENS.value:
            self._cache.popitem(last=False)
        return cached * tokens_per_block

    async def _cancel(self, body: bytes, scope: dict) -> Reply:
        attempt = self._attempts.get(msgspec.json.decode(body)["attempt_id"])
        if attempt is not None:
            attempt.scope.cancel()
            await attempt.ended.wait()
        return json_reply({"is_ended": True})

    async def _export(self, body: bytes, scope: dict) -> Reply:
        message = msgspec.json.decode(body)
        attempt = self._attempts.get(message["attempt_id"])
        if attempt is None:
            return json_reply({"error": "no such attempt"}, 404)
        attempt.scope.cancel()
        await attempt.ended.wait()
        size = attempt.tokens * _BYTES_PER_TOKEN
        await trio.sleep(size / _EXPORT_RATE.value)
        content = {"attempt_id": message["attempt_id"], "tokens": attempt.tokens}
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request(
                "POST",
                f"http://{message['target']}/engine/v1/kv/import",
                content=msgspec.json.encode(content),
            )
        return json_reply({"tokens": attempt.tokens, "size_bytes": size})

    async def _import(self, body: bytes, scope: dict) -> Reply:
        message = msgspec.json.decode(body)
        self._imported[message["attempt_id"]] = message["tokens"]
        return json_reply({})

    async def _execute_order(self, body: bytes, scope: dict) -> Reply:
        order = msgspec.json.decode(body)
        if _CHECKS_FENCING.value and order["fence"] < self.fence:
            return json_reply({"error": "old fencing number"}, 409)
        self.fence = order["fence"]
        self.last_order = order["id"]
        key = order.get("model_key")
        match order["kind"]:
            case "load" if key not in self.models:
                self.models.append(key)
            case "unload" if key in self.models:
                self.models.remove(key)
            case "set_role":
                self.role = order["role"]
            case "drain":
                self.is_leaving = True
        return json_reply({})

    async def _read_state(self, body: bytes, scope: dict) -> Reply:
        return json_reply(
            {
                "epoch": self.epoch,
                "models": self.models,
                "role": self.role,
                "is_leaving": self.is_leaving,
                "fence": self.fence,
                "last_order": self.last_order,
            }
        )

    async def _set_faults(self, body: bytes, scope: dict) -> Reply:
        self.faults = msgspec.json.decode(body, type=Faults)
        return json_reply({})

    async def _read_counts(self, body: bytes, scope: dict) -> Reply:
        return json_reply({"computed_tokens": self.computed_tokens})


_STREAM_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-type", b"text/event-stream")],
}


async def _cancel_on_disconnect(scope: dict, cancel: trio.CancelScope) -> None:
    while (await scope["receive"]())["type"] != "http.disconnect":
        continue
    cancel.cancel()


async def _send_event(send, event: dict, has_more: bool) -> None:
    body = b"data: " + msgspec.json.encode(event) + b"\n\n"
    await send({"type": "http.response.body", "body": body, "more_body": has_more})


def _parse_model(text: str) -> dict[str, str]:
    model, adapter, version, *_ = [*text.split(":"), "", ""]
    return {"model": model, "adapter": adapter, "version": version}


async def _run() -> None:
    engine = Engine()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            announce,
            _ENTRY_HOSTS.value,
            _KEY.value,
            _HEARTBEAT.value,
            engine.describe,
        )
        await serve(engine.application(), _ADDRESS.value)
        nursery.cancel_scope.cancel()


def main(_: list[str]) -> None:
    """Run the engine until SIGTERM."""
    trio.run(_run)


if __name__ == "__main__":
    app.run(main)
