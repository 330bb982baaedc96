"""A host that runs the daemon."""

from dataclasses import dataclass

__all__ = ["Host"]


@dataclass(frozen=True, slots=True)
class Host:
    """An entry or control host, as its own settings describe it."""

    name: str
    # host:port where peers reach it.
    peer_address: str
    # Base URL where callers and upstreams reach it, "" for a pure control host.
    caller_url: str
    zone: str
    region: str
    site: str
    is_control: bool = False
