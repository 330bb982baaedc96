"""A host that runs the pepperstep daemon."""

from dataclasses import dataclass

__all__ = ["Host"]


@dataclass(frozen=True, slots=True)
class Host:
    """An entry or control host, as described by its settings."""

    name: str
    # host:port for calls from peers.
    peer_address: str
    # Base URL for callers and upstreams, "" on a host without the entry role.
    caller_url: str
    zone: str
    region: str
    site: str
    is_control: bool = False
