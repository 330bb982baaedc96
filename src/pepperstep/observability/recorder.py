"""Facts that the jobs report while they work, one method for each.

Each fact has one reporter, so that nothing is counted twice: the HTTP interface
reports what callers see, routing what waits, requests what attempts do, and the
fleet what is paid.
"""

import enum
from typing import Protocol

from pepperstep.entities import Priority
from pepperstep.errors import Code

__all__ = ["ChunkFault", "NullRecorder", "Recorder", "RecomputeCause", "RetryCause"]


class RetryCause(enum.StrEnum):
    """Why another attempt was started."""

    REFUSED = "refused"
    UPSTREAM_LOST = "upstream_lost"
    DAMAGED_ANSWER = "damaged_answer"
    MOVE = "move"
    TAKEOVER = "takeover"


class RecomputeCause(enum.StrEnum):
    """Why tokens were computed again."""

    RECLAIM = "reclaim"
    UPSTREAM_LOST = "upstream_lost"
    DAMAGED_ANSWER = "damaged_answer"
    HOST_LOST = "host_lost"
    SUSPECT = "suspect"


class ChunkFault(enum.StrEnum):
    """Why a chunk of an answer was not used."""

    # From an earlier attempt or an attempt that has ended.
    LATE = "late"
    # Carries the id of another request's attempt.
    CROSSED = "crossed"
    DOUBLED = "doubled"
    GAP = "gap"


class Recorder(Protocol):
    """Takes facts; each call costs a few microseconds and never waits."""

    def record_first_token(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Note the time from a request's arrival to its first token (HTTP)."""

    def record_token_interval(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Note the mean time between the tokens of one chunk (HTTP)."""

    def record_answer(self, workspace: str, priority: Priority, seconds: float) -> None:
        """Note the time from a request's arrival to its whole answer (HTTP)."""

    def record_queueing(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Note the time that an attempt waited for a place (routing)."""

    def record_refusal(self, code: Code) -> None:
        """Note a request that ended by an error (HTTP)."""

    def record_retry(self, cause: RetryCause) -> None:
        """Note an attempt after the first one (requests)."""

    def record_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Note tokens of prompt and answer computed again (requests)."""

    def record_chunk_fault(self, fault: ChunkFault) -> None:
        """Note a chunk that was dropped (requests)."""

    def record_cost(self, deployment: str, price_class: str, amount: float) -> None:
        """Note money spent on a deployment's hosts (fleet)."""


class NullRecorder:
    """Recorder that drops all facts; the default of the jobs."""

    def record_first_token(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Do nothing."""

    def record_token_interval(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Do nothing."""

    def record_answer(self, workspace: str, priority: Priority, seconds: float) -> None:
        """Do nothing."""

    def record_queueing(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Do nothing."""

    def record_refusal(self, code: Code) -> None:
        """Do nothing."""

    def record_retry(self, cause: RetryCause) -> None:
        """Do nothing."""

    def record_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Do nothing."""

    def record_chunk_fault(self, fault: ChunkFault) -> None:
        """Do nothing."""

    def record_cost(self, deployment: str, price_class: str, amount: float) -> None:
        """Do nothing."""
