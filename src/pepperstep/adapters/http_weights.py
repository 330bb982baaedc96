"""HTTP client for the weight store (docs/interfaces-platform.md)."""

from typing import Annotated
from urllib.parse import quote

import msgspec

from pepperstep.adapters.http_platform import PlatformClient

__all__ = ["HttpWeights"]

_Size = Annotated[int, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(gt=0)]


class _Model(msgspec.Struct):
    size_bytes: _Size


class _Store(msgspec.Struct):
    bytes_per_second: _Rate


class HttpWeights:
    """Client of the weight store at a base URL."""

    def __init__(self, url: str, key: str = "", ssl_context=None):
        self._client = PlatformClient(url, key, ssl_context)

    async def size_bytes(self, model: str, version: str) -> int:
        """Return the size of a model's weights; raise KeyError if it's unknown."""
        path = f"/weights/v1/models/{quote(model, safe='')}/{quote(version, safe='')}"
        answer = await self._client.call("GET", path)
        if answer.status == 404:
            raise KeyError(f"{model} {version}")
        return answer.decode(_Model).size_bytes

    async def rate(self) -> float:
        """Return the download limit of all engines together, in bytes a second."""
        answer = await self._client.call("GET", "/weights/v1/rate")
        return answer.decode(_Store).bytes_per_second
