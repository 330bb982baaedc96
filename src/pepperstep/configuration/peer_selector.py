"""Which host a store asks for news."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["HostChoice", "StoreSettings"]

# Share of polls that go to control hosts, the others go to any host: while
# the last confirmation is fresh, and otherwise.
_CONTROL_SHARE = 0.25
_STALE_CONTROL_SHARE = 0.75
# Seconds between two polls of a host, and for how many hosts.
_POLL_SECONDS = 0.4
_POLL_SECONDS_OF_MANY = 2.0
_MANY_HOSTS = 100
# Seconds between two polls of a host that isn't ready.
_EARLY_POLL_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """A host's name and how it knows the others, itself among them or not."""

    name: str
    is_control: bool
    # Names of the live hosts, and of the control hosts.
    hosts: Callable[[], Sequence[str]]
    control_hosts: Callable[[], Sequence[str]]


class HostChoice:
    """Chooses hosts at random, so that no host is asked by all."""

    def __init__(self, settings: StoreSettings, rng: random.Random):
        self._settings = settings
        self._rng = rng

    def host(self, is_fresh: bool) -> str | None:
        """Return whom to poll, None if no other host is known."""
        share = _CONTROL_SHARE if is_fresh else _STALE_CONTROL_SHARE
        if self._rng.random() < share:
            return self.control_host()
        return self._one_of(self._settings.hosts()) or self.control_host()

    def control_host(self) -> str | None:
        """Return one of the other control hosts."""
        return self._one_of(self._settings.control_hosts())

    def pause(self, is_ready: bool) -> float:
        """Return the seconds until the next poll."""
        seconds = _POLL_SECONDS
        if not is_ready:
            seconds = _EARLY_POLL_SECONDS
        elif len(self._settings.hosts()) > _MANY_HOSTS:
            seconds = _POLL_SECONDS_OF_MANY
        return seconds * self._rng.uniform(0.75, 1.25)

    def tree_hosts(self) -> Sequence[str]:
        """Return the hosts that learn by pushes: all but the control hosts."""
        control = set(self._settings.control_hosts())
        return [name for name in self._settings.hosts() if name not in control]

    def _one_of(self, hosts: Sequence[str]) -> str | None:
        others = [name for name in hosts if name != self._settings.name]
        return self._rng.choice(others) if others else None
