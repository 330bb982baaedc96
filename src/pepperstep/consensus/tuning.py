"""Timing and sizes of the replicated log."""

from dataclasses import dataclass

__all__ = ["Tuning"]

_MEGABYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in seconds, sizes in bytes; all hosts of a group need the same times."""

    heartbeat_interval: float = 0.25
    # Shortest election timeout; the longest is twice as much.
    election: float = 1.0
    # Share by which a host's monotonic clock may run fast or slow.
    clock_drift: float = 0.01
    # A new commit index alone waits as long for entries to go with.
    commit_delay: float = 0.02
    # One message to a peer and its answer.
    call_timeout: float = 0.5
    # One attempt to propose by way of another host.
    forward_timeout: float = 1.5
    # Between two requests of a host that wants to join.
    join_period: float = 0.3
    retry_backoff: float = 0.02
    max_retry_backoff: float = 0.5
    # One append message.
    batch_entries: int = 1024
    batch_bytes: int = _MEGABYTE // 2
    chunk_bytes: int = _MEGABYTE // 2
    segment_bytes: int = 4 * _MEGABYTE
    # A snapshot is taken after this much of the log.
    snapshot_entries: int = 20_000
    snapshot_bytes: int = 16 * _MEGABYTE
    # Entries kept behind a snapshot for followers that are a little late.
    trailing_entries: int = 2_000
    command_bytes: int = 8 * _MEGABYTE
    # Proposals that wait for their commit at the leader.
    pending_proposals: int = 8_192
    # Answers kept for repeated proposals: several times as many as can wait,
    # since a proposal that is overtaken by so many is given up.
    session_count: int = 32_768
    session_bytes: int = 16 * _MEGABYTE

    @property
    def lease(self) -> float:
        """Seconds for which contact at one time gives the leader its lease."""
        return self.election * (1 - self.clock_drift) / (1 + self.clock_drift)
