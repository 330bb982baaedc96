"""What a host knows of the other hosts."""

from typing import Protocol

from pepperstep.entities import Host

__all__ = ["Directory"]


class Directory(Protocol):
    """This host's view of all hosts, which may be late or wrong."""

    def entry_hosts(self) -> list[Host]:
        """Return the entry hosts that take new work, this one included."""

    def is_gone(self, host: str, incarnation: int) -> bool:
        """Whether this life of the host's process has ended, as far as known."""
