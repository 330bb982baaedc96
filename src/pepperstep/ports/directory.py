"""Directory of the hosts in the cluster."""

from typing import Protocol

from pepperstep.entities import Host

__all__ = ["Directory"]


class Directory(Protocol):
    """This host's view of all hosts, which may be stale or wrong."""

    def entry_hosts(self) -> list[Host]:
        """Return the entry hosts that accept new requests, including this host."""

    def is_gone(self, host: str, incarnation: int) -> bool:
        """Whether this incarnation of the host's process is known to have ended."""
