"""What a host tells operators of itself and of the others it knows."""

from dataclasses import dataclass

__all__ = [
    "DocumentView",
    "HostView",
    "StatusView",
    "UpstreamView",
    "ValueView",
    "VoterView",
]


@dataclass(frozen=True, slots=True)
class VoterView:
    """A control host's part in the replicated log."""

    host: str
    # "voter" or "learner".
    role: str
    # Last entry of its log that is synced; known to the leader alone.
    match_index: int = 0
    # Seconds since its last answer to the leader, None if there was none.
    contact_age: float | None = None


@dataclass(frozen=True, slots=True)
class StatusView:
    """State of the host that answers."""

    host: str
    zone: str
    region: str
    site: str
    # Revision of the configuration in force here.
    revision: int
    # Reasons why it should get no requests now; empty if it is ready.
    reasons_not_ready: tuple[str, ...] = ()
    is_leaving: bool = False
    # Name of the leader of the control hosts, "" if none is known.
    leader: str = ""
    term: int = 0
    in_flight: int = 0
    # Whether all voters answer and have all that is committed, so that one may
    # be lost; known to the leader alone, None elsewhere.
    is_redundant: bool | None = None
    voters: tuple[VoterView, ...] = ()


@dataclass(frozen=True, slots=True)
class HostView:
    """A host as the one that answers sees it."""

    name: str
    # "alive", "leaving", "suspect", "dead" or "left".
    state: str
    zone: str
    region: str
    site: str
    peer_address: str
    caller_url: str = ""
    is_control: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """An upstream as the host that answers sees it."""

    name: str
    # "engine" or "service".
    kind: str
    zone: str
    address: str
    epoch: int
    # Cloud host that it runs on.
    host: str = ""
    service: str = ""
    # Models as MODEL[:ADAPTER[:VERSION]].
    models: tuple[str, ...] = ()
    role: str = ""
    slots: int = 0
    # Requests that this host has there now, and what the upstream reported.
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    is_leaving: bool = False
    # Why nothing is sent there for the moment, "" if that isn't so.
    ejected: str = ""


@dataclass(frozen=True, slots=True)
class ValueView:
    """One value of the configuration in force and where it comes from."""

    path: str
    # As JSON.
    value: str
    # "base", a site for its overlay, or "default".
    document: str


@dataclass(frozen=True, slots=True)
class DocumentView:
    """A document of the configuration as it was accepted."""

    name: str
    # TOML.
    text: str
