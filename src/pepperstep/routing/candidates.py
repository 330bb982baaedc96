"""The upstreams that an attempt may use, checked lazily."""

from collections.abc import Callable, Collection, Sequence
from random import Random

from pepperstep.routing.tracked import TrackedUpstream

__all__ = ["Candidates"]

# Random draws per wanted candidate before all members are checked.
_DRAWS_PER_CANDIDATE = 3


class Candidates:
    """The members of a pool that are usable for one attempt."""

    __slots__ = ("_by_name", "_is_usable", "_members")

    def __init__(
        self,
        members: Sequence[TrackedUpstream],
        by_name: dict[str, TrackedUpstream],
        is_usable: Callable[[TrackedUpstream], bool],
    ):
        self._members = members
        self._by_name = by_name
        self._is_usable = is_usable

    def list_all(self) -> list[TrackedUpstream]:
        """Return all usable members."""
        return [each for each in self._members if self._is_usable(each)]

    def draw(self, number: int, rng: Random) -> list[TrackedUpstream]:
        """Return up to `number` distinct usable members, drawn at random."""
        members = self._members
        if len(members) <= _DRAWS_PER_CANDIDATE * number:
            return self._draw_from_all(number, rng)
        drawn: list[TrackedUpstream] = []
        for _ in range(_DRAWS_PER_CANDIDATE * number):
            member = members[int(rng.random() * len(members))]
            if member not in drawn and self._is_usable(member):
                drawn.append(member)
                if len(drawn) == number:
                    return drawn
        return self._draw_from_all(number, rng)

    def find(self, names: Collection[str]) -> list[TrackedUpstream]:
        """Return the usable members with the given names."""
        found = [self._by_name[name] for name in names if name in self._by_name]
        return [each for each in found if self._is_usable(each)]

    def _draw_from_all(self, number: int, rng: Random) -> list[TrackedUpstream]:
        usable = self.list_all()
        return rng.sample(usable, min(number, len(usable)))
