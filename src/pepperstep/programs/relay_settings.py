"""Settings of a relaying host, independent of the platform's file format."""

from dataclasses import dataclass, field

from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["ControlRole", "EntryRole", "RelayBounds", "RelaySettings"]


@dataclass(frozen=True, slots=True)
class EntryRole:
    """Listen addresses of an entry host (host:port)."""

    caller_address: str
    # Address of the readiness endpoint, "" for none.
    readiness_address: str = ""
    # Where callers ask for entry hosts, "" for nowhere.
    directory_address: str = ""
    # Where requests from other entry hosts are accepted, "" for nowhere.
    forward_address: str = ""


@dataclass(frozen=True, slots=True)
class ControlRole:
    """Listen addresses of a control host (host:port), and its log settings."""

    operator_address: str
    data_folder: str
    # Where callers ask for entry hosts, "" for nowhere.
    directory_address: str = ""
    # Whether the seeds bootstrap a new group; otherwise this host joins their group.
    forms_group: bool = False
    # Number of control hosts that may be lost at once with their disks.
    tolerated_losses: int = 1


@dataclass(frozen=True, slots=True)
class RelayBounds:
    """Guarantees that all hosts together give to a deployment; times in seconds."""

    # From the acknowledgement of an upstream's end until it gets no new requests.
    drain_seconds: float = 2.0
    # From the stop signal until the process is killed.
    grace_seconds: float = 8.0
    # From the acknowledgement of a route table until it's in force on all hosts.
    in_force_seconds: float = 2.0
    # Time within which an operator repeats an unanswered order.
    order_seconds: float = 5.0
    # Requests that may be exposed to a bad new version: a share of all requests plus
    # a fixed allowance.
    expose_share: float = 0.1
    expose_allowance: float = 50.0
    # Retries of a service per first attempt, plus an allowance in each window.
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 50.0
    quota_window: float = 8.0
    # Usage of a workspace beyond its quota: a share of the quota plus an allowance.
    quota_overage: float = 0.1
    quota_allowance: float = 0.0
    # Length of an accounting window, and time after its end until usage is due.
    usage_window: float = 5.0
    usage_late: float = 10.0
    # Lease of a duty, such as usage reports, that a single host performs at a time.
    duty_lease: float = 3.0
    # Maximum time for which callers cache the entry hosts' addresses.
    directory_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """All settings of one process; `peer_address` also identifies it to peers."""

    host: str
    zone: str
    region: str
    peer_address: str
    # Peer addresses of some control hosts.
    seeds: tuple[str, ...]
    # All availability zones of the deployment.
    zones: tuple[str, ...] = ()
    entry: EntryRole | None = None
    control: ControlRole | None = None
    # host:port of the API for usage reports and orders, "" for none.
    cloud_address: str = ""
    bounds: RelayBounds = field(default_factory=RelayBounds)
    # Limits of the scheduling by all entry hosts together; None if each host decides by
    # itself.
    scheduling: SchedulingSettings | None = None
    # Processor capacity of the host in cores, 0 if unknown.
    capacity: float = 0.0
