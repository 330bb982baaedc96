"""Views of a host's state for operators."""

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
    """A control host's role and progress in the replicated log."""

    host: str
    # "voter" or "learner".
    role: str
    # Last log entry that the host has synced to disk; known only to the leader.
    match_index: int = 0
    # Seconds since the host's last answer to the leader, None without any.
    contact_age: float | None = None


@dataclass(frozen=True, slots=True)
class StatusView:
    """State of the answering host."""

    host: str
    zone: str
    region: str
    site: str
    # Revision of the configuration in force on this host.
    revision: int
    # Reasons why the host should get no requests, empty if the host is ready.
    reasons_not_ready: tuple[str, ...] = ()
    is_leaving: bool = False
    # Name of the leader of the control hosts, "" if none is known.
    leader: str = ""
    term: int = 0
    in_flight: int = 0
    # Whether all voters answer and have all committed entries, so that one voter may be
    # lost. Known only to the leader, None on other hosts.
    is_redundant: bool | None = None
    voters: tuple[VoterView, ...] = ()


@dataclass(frozen=True, slots=True)
class HostView:
    """A host as seen by the answering host."""

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
    """An upstream as seen by the answering host."""

    name: str
    # "engine" or "service".
    kind: str
    zone: str
    address: str
    epoch: int
    # Cloud host that runs the upstream.
    host: str = ""
    service: str = ""
    # Models as MODEL[:ADAPTER[:VERSION]].
    models: tuple[str, ...] = ()
    role: str = ""
    slots: int = 0
    # Requests in flight from this host, and the load that the upstream reported.
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    is_leaving: bool = False
    # State that keeps this host from sending requests there, "" if it sends them.
    ejected: str = ""


@dataclass(frozen=True, slots=True)
class ValueView:
    """A value of the configuration in force, with its origin."""

    path: str
    # As JSON.
    value: str
    # Origin: "base", the site of an overlay, or "default".
    document: str


@dataclass(frozen=True, slots=True)
class DocumentView:
    """A configuration document as accepted."""

    name: str
    # TOML.
    text: str
