"""Fake directory whose hosts the test sets."""

from pepperstep.entities import Host

__all__ = ["FakeDirectory"]


class FakeDirectory:
    """Directory shared by all fake hosts of a test."""

    def __init__(self, hosts: list[Host]):
        self.hosts = {host.name: host for host in hosts}
        # Highest incarnation of each host that has ended; earlier ones ended too.
        self.gone: dict[str, int] = {}
        self.leaving: set[str] = set()

    def entry_hosts(self) -> list[Host]:
        """Return the entry hosts that are neither gone nor leaving."""
        return [
            host
            for name, host in self.hosts.items()
            if name not in self.gone and name not in self.leaving
        ]

    def is_gone(self, host: str, incarnation: int) -> bool:
        """Whether this incarnation of a host has ended."""
        return self.gone.get(host, -1) >= incarnation
