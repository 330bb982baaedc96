"""Entry hosts that keep for all hosts what each sees a part of only.

All hosts find the same keeper for a thing, as an upstream or a workspace, by hashes. A
keeper that doesn't answer is left alone for a while: requests wait for its answers.
"""

from collections.abc import Callable, Sequence

import xxhash
from absl import logging
from google.protobuf.message import Message

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers

__all__ = ["KeyOwners"]

# Time for which a keeper that didn't answer is asked nothing, in seconds: the first
# time, as it may just be connecting, and until it answers again.
_FIRST_REST_SECONDS = 0.25
_REST_SECONDS = 2.0


class KeyOwners:
    """The keepers as the host `name` knows them, itself perhaps among them.

    `names` gives their addresses among hosts, the same ones on all hosts.
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
        # Times until which keepers rest that haven't answered since.
        self._resting: dict[str, float] = {}

    def others(self) -> frozenset[str]:
        """Return all keepers but this host."""
        return frozenset(self._names()) - {self.own_name}

    def keeper_of(self, thing: str) -> str | None:
        """Return the keeper of a thing, None while none is known."""
        return min(self._names(), key=_rank_for(thing), default=None)

    def ranked(self, thing: str) -> list[str]:
        """Return the keeper of a thing, and those that follow if it's lost."""
        return sorted(self._names(), key=_rank_for(thing))

    async def ask(
        self, keeper: str, message: Message, timeout: float
    ) -> Message | None:
        """Return a keeper's answer; None if it doesn't answer, or didn't just now."""
        if self._is_resting(keeper):
            return None
        try:
            answer = await self._network.call_single(keeper, message, timeout)
        except Failure as failure:
            self._rest(keeper, failure)
            return None
        self._resting.pop(keeper, None)
        return answer

    def _is_resting(self, keeper: str) -> bool:
        return self._resting.get(keeper, 0.0) > self._timers.now()

    def _rest(self, keeper: str, failure: Failure) -> None:
        if self._is_resting(keeper):
            return
        seconds = _REST_SECONDS if keeper in self._resting else _FIRST_REST_SECONDS
        logging.info("keepers: %s rests for %.2f s: %s", keeper, seconds, failure.text)
        self._resting[keeper] = self._timers.now() + seconds


def _rank_for(thing: str) -> Callable[[str], int]:
    """Return what orders keepers for a thing: each host has a hash of its own."""
    return lambda keeper: xxhash.xxh64_intdigest(f"{keeper}/{thing}".encode())
