"""Timeouts and size limits of the replicated log."""

from dataclasses import dataclass

__all__ = ["Tuning"]

_MEGABYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in seconds, sizes in bytes; all hosts of a group must use equal times."""

    heartbeat_interval: float = 0.2
    # Minimum election timeout. A voter that doesn't answer for longer is replaced if
    # there is a learner that can vote.
    election_timeout: float = 0.5
    # Maximum random delay of an election, which keeps hosts from campaigning together.
    election_jitter: float = 0.25
    # Maximum relative error of a host's monotonic clock, fast or slow.
    clock_drift: float = 0.01
    # Delay before a new commit index is sent without entries, so that it can be
    # sent together with the next ones.
    commit_delay: float = 0.02
    # Timeout of one request to a peer.
    call_timeout: float = 0.5
    # Timeout of one attempt to forward proposals to another host.
    forward_timeout: float = 1.5
    # Interval between requests of a host that wants to join the group.
    join_interval: float = 0.3
    initial_retry_backoff: float = 0.02
    max_retry_backoff: float = 0.5
    # Limits of one append message.
    max_batch_entries: int = 1024
    max_batch_bytes: int = _MEGABYTE // 2
    snapshot_chunk_bytes: int = _MEGABYTE // 2
    segment_bytes: int = 4 * _MEGABYTE
    # Amount of log, in entries or bytes, after which a snapshot is taken.
    snapshot_entries: int = 20_000
    snapshot_bytes: int = 16 * _MEGABYTE
    # Entries kept before a snapshot's index, so that a follower that lags only
    # slightly doesn't need the whole snapshot.
    trailing_entries: int = 2_000
    max_command_bytes: int = 8 * _MEGABYTE
    # Uncommitted proposals at the leader; further ones are refused.
    max_pending_proposals: int = 8_192
    # Results kept to answer repeated proposals: several times as many as may be
    # pending, since a proposal whose result is evicted fails with an unknown
    # outcome.
    max_sessions: int = 32_768
    max_session_bytes: int = 16 * _MEGABYTE

    @property
    def max_election_timeout(self) -> float:
        """Longest time in seconds without a leader until a host campaigns."""
        return self.election_timeout + self.election_jitter

    @property
    def lease(self) -> float:
        """Seconds for which an answer of a quorum extends the leader's lease.

        The election timeout is shortened for a follower whose clock runs fast
        and a leader whose clock runs slow.
        """
        return self.election_timeout * (1 - self.clock_drift) / (1 + self.clock_drift)
