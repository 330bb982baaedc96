"""Stand-in for the weight store (docs/interfaces-platform.md).

All downloads share one token bucket, with one token per byte. A request for which
the bucket has too few tokens gets status 429 and a Retry-After header.
"""

import time
from urllib.parse import parse_qs, unquote

import msgspec
import trio
from absl import app, flags

from standins.web import Application, Reply, json_reply, serve

__all__ = ["WeightStore", "main"]

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:9400", "Address to listen on.")
_MODELS = flags.DEFINE_list("models", [], "What it holds, as MODEL:VERSION:BYTES.")
_RATE = flags.DEFINE_float("rate", 1e8, "Bytes a second for all downloads together.")
_BURST_SECONDS = flags.DEFINE_float(
    "burst_seconds", 1.0, "Seconds of the rate that may be saved up."
)

_PREFIX = "/weights/v1/models/"
_MAX_PART_BYTES = 1024 * 1024


class WeightStore:
    """Weight store with model sizes and a token bucket."""

    def __init__(self, sizes: dict[str, int], rate: float, burst: float):
        self.sizes = sizes
        self.rate = rate
        self.burst = max(burst, _MAX_PART_BYTES)
        self.sent_bytes = 0
        self._tokens = self.burst
        self._refilled_at = time.monotonic()

    def application(self) -> Application:
        """Return its HTTP interface."""
        application = Application()
        application.add("GET", "/weights/v1/rate", self._read_rate)
        application.add("GET", _PREFIX, self._read_model)
        application.add("GET", "/weights/v1/content/", self._read_content)
        application.add("GET", "/standin/v1/counts", self._read_counts)
        return application

    async def _read_rate(self, body: bytes, scope: dict) -> Reply:
        return json_reply({"bytes_per_second": self.rate})

    async def _read_model(self, body: bytes, scope: dict) -> Reply:
        size = self.sizes.get(unquote(scope["path"].removeprefix(_PREFIX)))
        if size is None:
            return json_reply({"error": "no such model"}, 404)
        return json_reply({"size_bytes": size})

    async def _read_content(self, body: bytes, scope: dict) -> Reply:
        """Return a part that starts at `offset` and may be shorter than `length`."""
        name = unquote(scope["path"].removeprefix("/weights/v1/content/"))
        size = self.sizes.get(name)
        if size is None:
            return json_reply({"error": "no such model"}, 404)
        query = parse_qs(scope["query_string"].decode())
        offset = int(query.get("offset", ["0"])[0])
        length = int(query.get("length", [str(_MAX_PART_BYTES)])[0])
        count = max(0, min(length, _MAX_PART_BYTES, size - offset))
        wait = self._take_tokens(count)
        if wait > 0:
            headers = ((b"retry-after", f"{wait:.3f}".encode()),)
            error = msgspec.json.encode({"error": "too many downloads"})
            return Reply(429, error, headers=headers)
        self.sent_bytes += count
        return Reply(200, bytes(count), "application/octet-stream")

    async def _read_counts(self, body: bytes, scope: dict) -> Reply:
        return json_reply({"sent_bytes": self.sent_bytes})

    def _take_tokens(self, count: int) -> float:
        """Take tokens and return 0, or return the seconds until there are enough."""
        now = time.monotonic()
        filled = self._tokens + (now - self._refilled_at) * self.rate
        self._tokens = min(self.burst, filled)
        self._refilled_at = now
        if self._tokens < count:
            return (count - self._tokens) / self.rate
        self._tokens -= count
        return 0.0


def _parse_model(text: str) -> tuple[str, int]:
    model, version, size = text.split(":")
    return f"{model}/{version}", int(float(size))


def main(_: list[str]) -> None:
    """Run the store until SIGTERM."""
    store = WeightStore(
        dict(map(_parse_model, _MODELS.value)),
        _RATE.value,
        _RATE.value * _BURST_SECONDS.value,
    )
    trio.run(serve, store.application(), _ADDRESS.value)


if __name__ == "__main__":
    app.run(main)
