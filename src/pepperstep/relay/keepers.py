"""Owners: entry hosts that hold shared state on behalf of all entry hosts.

Each key, such as an upstream or a workspace, has one owner, which all hosts determine
by rendezvous hashing. An owner that doesn't answer is backed off, as requests wait for
its answers.
"""

from collections.abc import Callable, Sequence

import xxhash
from absl import logging
from google.protobuf.message import Message

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers

__all__ = ["KeyOwners"]

# Backoff after an owner didn't answer. The first one is short, as the connection may
# still be opening; the other applies until the owner answers again.
_FIRST_BACKOFF_SECONDS = 0.25
_BACKOFF_SECONDS = 2.0


class KeyOwners:
    """The owners of keys as seen by the host `name`, which may be one of them.

    `names` returns the peer addresses of all possible owners, the same on all hosts.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        timers: Timers,
        names: Callable[[], Sequence[str]],
    ):
        self.own_name = name
        self._network = network
        self._timers = timers
        self._names = names
        # End of the backoff of each owner that hasn't answered since.
        self._backoff_until: dict[str, float] = {}

    def others(self) -> frozenset[str]:
        """Return all possible owners except this host."""
        return frozenset(self._names()) - {self.own_name}

    def owner_of(self, key: str) -> str | None:
        """Return the owner of a key, or None while no owners are known."""
        return min(self._names(), key=_hash_for(key), default=None)

    def ranked(self, key: str) -> list[str]:
        """Return the owner of a key, followed by its successors in order."""
        return sorted(self._names(), key=_hash_for(key))

    async def ask(self, owner: str, message: Message, timeout: float) -> Message | None:
        """Return an owner's answer, or None if it doesn't answer or is backed off."""
        if self._is_backed_off(owner):
            return None
        try:
            answer = await self._network.call_single(owner, message, timeout)
        except Failure as failure:
            self._back_off(owner, failure)
            return None
        self._backoff_until.pop(owner, None)
        return answer

    def _is_backed_off(self, owner: str) -> bool:
        return self._backoff_until.get(owner, 0.0) > self._timers.now()

    def _back_off(self, owner: str, failure: Failure) -> None:
        if self._is_backed_off(owner):
            return
        seconds = (
            _BACKOFF_SECONDS if owner in self._backoff_until else _FIRST_BACKOFF_SECONDS
        )
        logging.info(
            "keepers: backing off from %s for %.2f s: %s", owner, seconds, failure.text
        )
        self._backoff_until[owner] = self._timers.now() + seconds


def _hash_for(key: str) -> Callable[[str], int]:
    """Return the sort key of owners for a key, a hash of both."""
    return lambda owner: xxhash.xxh64_intdigest(f"{owner}/{key}".encode())
