"""A view of hosts that the test sets."""

from pepperstep.entities import Host

__all__ = ["FakeDirectory"]


class FakeDirectory:
    """Hosts shared by all fake hosts of a test."""

    def __init__(self, hosts: list[Host]):
        self.hosts = {host.name: host for host in hosts}
        # Incarnation up to which each host's lives have ended.
        self.gone: dict[str, int] = {}
        self.leaving: set[str] = set()

    def entry_hosts(self) -> list[Host]:
        """Return the hosts that are neither gone nor leaving."""
        return [
            host
            for name, host in self.hosts.items()
            if name not in self.gone and name not in self.leaving
        ]

    def is_gone(self, host: str, incarnation: int) -> bool:
        """Whether the test has declared this life ended."""
        return self.gone.get(host, -1) >= incarnation
