"""Announcement of stand-in upstreams at entry hosts."""

from collections.abc import Callable, Sequence

import httpcore
import msgspec
import trio

__all__ = ["announce"]

_ANSWER_TIMEOUT_SECONDS = 1.0


async def announce(
    entry_hosts: Sequence[str],
    key: str,
    heartbeat_seconds: float,
    describe: Callable[[], dict],
) -> None:
    """Renew the lease at each entry host in turn, until cancelled.

    `describe` returns the current announcement without its sequence number.
    """
    sequence = 0
    # Token of the last lease from each entry host, and when it was received.
    leases: dict[str, tuple[str, float]] = {}
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            for url in entry_hosts:
                sequence += 1
                token, received_at = leases.pop(url, ("", trio.current_time()))
                message = {
                    **describe(),
                    "sequence": sequence,
                    "token": token,
                    "held_seconds": trio.current_time() - received_at,
                }
                with trio.move_on_after(_ANSWER_TIMEOUT_SECONDS):
                    token = await _announce_at(pool, url, key, message)
                    leases[url] = (token, trio.current_time())
            await trio.sleep(heartbeat_seconds)


async def _announce_at(
    pool: httpcore.AsyncConnectionPool, url: str, key: str, message: dict
) -> str:
    """Announce once and return the token of the lease, "" if there is none."""
    headers = {"authorization": f"Bearer {key}"}
    content = msgspec.json.encode(message)
    try:
        answer = await pool.request(
            "POST", f"{url}/upstreams/v1/announce", headers=headers, content=content
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return ""
    return msgspec.json.decode(answer.content).get("token", "")
