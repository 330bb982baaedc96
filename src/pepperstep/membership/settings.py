"""Times and limits of the membership and of the upstreams' registry."""

from dataclasses import dataclass

__all__ = ["MembershipSettings", "RegistrySettings"]


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How hosts watch each other; times in seconds, sizes in bytes."""

    # Each host probes one other host each period, whatever their number.
    probe_period: float = 0.4
    probe_timeout: float = 0.2
    # Hosts that are asked to probe a target that doesn't answer.
    helper_count: int = 3
    # Time that a suspect has to refute.
    suspicion_timeout: float = 1.0
    gossip_period: float = 0.2
    gossip_fanout: int = 2
    max_update_bytes: int = 800
    update_bytes_per_second: float = 2500.0
    sync_period: float = 5.0
    max_sync_bytes: int = 32 * 1024
    # Hosts of each region that exchange updates with other regions.
    bridge_count: int = 3
    bridge_period: float = 1.0
    # How often a seed or dead member is tried again.
    rejoin_period: float = 1.0
    # How long dead members are remembered.
    forget_after: float = 600.0


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """How upstreams are kept and spread; times in seconds."""

    heartbeat_period: float = 1.0
    lease: float = 3.0
    # Changes go out this often, renewals without a change at `renewal_period`.
    push_period: float = 0.25
    renewal_period: float = 1.0
    push_timeout: float = 0.25
    max_push_bytes: int = 16 * 1024
    digest_period: float = 5.0
    # How long ended upstreams are remembered, so that late messages are known.
    forget_after: float = 600.0
    # Entry hosts of a region that route to an upstream, 0 for all.
    routers_per_upstream: int = 0
