"""How stand-ins announce themselves at entry hosts."""

from collections.abc import Callable, Sequence

import httpcore
import msgspec
import trio

__all__ = ["announce"]

_ANSWER_SECONDS = 1.0


async def announce(
    entry_hosts: Sequence[str],
    key: str,
    heartbeat_seconds: float,
    describe: Callable[[], dict],
) -> None:
    """Renew the lease at each entry host, one after another, until cancelled.

    `describe` returns the announcement as it's now, without its sequence number.
    """
    sequence = 0
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            for url in entry_hosts:
                sequence += 1
                content = msgspec.json.encode({**describe(), "sequence": sequence})
                with trio.move_on_after(_ANSWER_SECONDS):
                    await _announce_at(pool, url, key, content)
            await trio.sleep(heartbeat_seconds)


async def _announce_at(
    pool: httpcore.AsyncConnectionPool, url: str, key: str, content: bytes
) -> None:
    headers = {"authorization": f"Bearer {key}"}
    try:
        await pool.request(
            "POST", f"{url}/upstreams/v1/announce", headers=headers, content=content
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return
