"""Settings of the membership and of the upstream registry."""

from dataclasses import dataclass

__all__ = ["MembershipSettings", "RegistrySettings"]


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of probes, gossip and syncs; times in seconds, sizes in bytes."""

    # Each host probes one other host per period, however many there are.
    probe_period: float = 0.4
    probe_timeout: float = 0.2
    # Hosts that are asked for an indirect probe of a target that doesn't answer.
    helper_count: int = 3
    # Time that a suspect has to refute the suspicion.
    suspicion_timeout: float = 1.0
    gossip_period: float = 0.2
    gossip_fanout: int = 2
    max_update_bytes: int = 800
    update_bytes_per_second: float = 2500.0
    sync_period: float = 5.0
    max_sync_bytes: int = 32 * 1024
    # Hosts of each region that sync with other regions.
    bridge_count: int = 3
    bridge_period: float = 1.0
    # Interval between attempts to reach a missing seed or dead member.
    rejoin_period: float = 1.0
    # Time for which the records of dead and departed members are kept.
    forget_after: float = 600.0


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """Settings of upstream leases and their replication; times in seconds."""

    heartbeat_period: float = 1.0
    lease: float = 3.0
    # Interval of pushes of changes; renewals are pushed each `renewal_period`.
    push_period: float = 0.25
    renewal_period: float = 1.0
    push_timeout: float = 0.25
    max_push_bytes: int = 16 * 1024
    digest_period: float = 5.0
    # Time for which records are kept after their last message, so that a delayed
    # message can't restore an ended upstream.
    forget_after: float = 600.0
    # Number of a region's entry hosts that route to an upstream, 0 for all.
    routers_per_upstream: int = 0
