"""HTTP client shared by the cloud API and the weight store."""

import math
from dataclasses import dataclass
from typing import TypeVar

import httpcore
import msgspec

__all__ = ["PlatformAnswer", "PlatformClient"]

_CONNECT_SECONDS = 2.0
_ANSWER_SECONDS = 10.0
_MAX_CONNECTIONS = 16
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_DEFAULT_RETRY_SECONDS = 5.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """A complete answer with any status."""

    status: int
    body: bytes
    # Seconds to wait before a retry.
    retry_after: float

    @property
    def text(self) -> str:
        """The beginning of the body, for error messages."""
        return self.body[:200].decode(errors="replace")

    def decode(self, answer_type: type[T]) -> T:
        """Decode the body; raise OSError if it is invalid or the status isn't 200."""
        if self.status != 200:
            raise OSError(f"The platform answers {self.status}: {self.text}")
        try:
            return msgspec.json.decode(self.body, type=answer_type)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise OSError(f"The platform's answer is damaged: {error}") from error


class PlatformClient:
    """Client for one base URL; connection errors are raised as OSError."""

    def __init__(self, url: str, key: str = "", ssl_context=None):
        self._url = url.rstrip("/")
        self._headers = [(b"content-type", b"application/json")]
        if key:
            self._headers.append((b"authorization", b"Bearer " + key.encode()))
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=30.0,
        )

    async def call(
        self, method: str, path: str, content: object = None
    ) -> PlatformAnswer:
        """Make a call with `content` as JSON body and return the answer."""
        body = b"" if content is None else msgspec.json.encode(content)
        timeout = {
            "connect": _CONNECT_SECONDS,
            "pool": _CONNECT_SECONDS,
            "read": _ANSWER_SECONDS,
            "write": _ANSWER_SECONDS,
        }
        try:
            async with self._pool.stream(
                method,
                self._url + path,
                headers=self._headers,
                content=body,
                extensions={"timeout": timeout},
            ) as response:
                return PlatformAnswer(
                    response.status,
                    await _read_whole(response),
                    _retry_after(response),
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            text = f"{self._url}{path}: {type(error).__name__}"
            raise OSError(text) from error


async def _read_whole(response: httpcore.Response) -> bytes:
    body = bytearray()
    async for data in response.aiter_stream():
        body += data
        if len(body) > _MAX_ANSWER_BYTES:
            raise OSError("The platform's answer is too long.")
    return bytes(body)


def _retry_after(response: httpcore.Response) -> float:
    for name, value in response.headers:
        if name.lower() == b"retry-after":
            try:
                seconds = float(value)
            except ValueError:
                break
            if 0 <= seconds < math.inf:
                return seconds
    return _DEFAULT_RETRY_SECONDS
