"""Selection of the hosts that a configuration store polls, and of the poll rate."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["PeerSelector", "StoreSettings"]

# Share of polls that go to control hosts while the last confirmation is fresh, and
# after it became stale. The other polls go to any host.
_CONTROL_SHARE = 0.25
_STALE_CONTROL_SHARE = 0.75
# Mean seconds between two polls by a host, in a small and in a large cluster.
_POLL_PERIOD_SECONDS = 0.4
_LARGE_CLUSTER_POLL_SECONDS = 2.0
_LARGE_CLUSTER_HOSTS = 100
# Mean seconds between two polls by a host that isn't ready.
_STARTUP_POLL_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """A host's name and its sources of host names, which may include its own."""

    name: str
    is_control: bool
    # Functions that return the names of the live hosts and of the control hosts.
    hosts: Callable[[], Sequence[str]]
    control_hosts: Callable[[], Sequence[str]]


class PeerSelector:
    """Selects hosts at random, so that polls are spread over all hosts."""

    def __init__(self, settings: StoreSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng

    def poll_target(self, is_fresh: bool) -> str | None:
        """Return the host to poll next, None if no other host is known."""
        share = _CONTROL_SHARE if is_fresh else _STALE_CONTROL_SHARE
        if self._rng.random() < share:
            return self.control_host()
        return self._random_other(self._settings.hosts()) or self.control_host()

    def control_host(self) -> str | None:
        """Return a random other control host, None if there is none."""
        return self._random_other(self._settings.control_hosts())

    def poll_delay(self, is_ready: bool) -> float:
        """Return the seconds until the next poll."""
        seconds = _POLL_PERIOD_SECONDS
        if not is_ready:
            seconds = _STARTUP_POLL_SECONDS
        elif len(self._settings.hosts()) > _LARGE_CLUSTER_HOSTS:
            seconds = _LARGE_CLUSTER_POLL_SECONDS
        return seconds * self._rng.uniform(0.75, 1.25)

    def tree_hosts(self) -> Sequence[str]:
        """Return the hosts that get pushes: all except the control hosts."""
        control = set(self._settings.control_hosts())
        return [name for name in self._settings.hosts() if name not in control]

    def _random_other(self, hosts: Sequence[str]) -> str | None:
        others = [name for name in hosts if name != self._settings.name]
        return self._rng.choice(others) if others else None
