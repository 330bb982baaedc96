"""A mechanism, and how it's taken out."""

from dataclasses import dataclass

__all__ = ["Cut", "Mechanism"]


@dataclass(frozen=True)
class Cut:
    """A text that stands once in a file below src/pepperstep, and another."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Mechanism:
    """A mechanism, and how it's taken out: `old` is replaced by `new`."""

    point: int
    name: str
    # Below src/pepperstep.
    file: str
    old: str
    new: str
    # Tests of which at least one must fail without the mechanism.
    tests: tuple[str, ...]
    # What else must go, where one layer stands in for another.
    also: tuple[Cut, ...] = ()

    @property
    def cuts(self) -> tuple[Cut, ...]:
        """All that is replaced."""
        return (Cut(self.file, self.old, self.new), *self.also)
