"""Interface through which components report measurements, one method for each.

Each measurement has a single reporter, so that nothing is counted twice: the HTTP
interface reports answers to callers, routing reports queueing, requests report
attempts, and the fleet reports costs.
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

    # Belongs to an earlier attempt or an attempt that has ended.
    LATE = "late"
    # Has the id of another request's attempt.
    CROSSED = "crossed"
    DOUBLED = "doubled"
    GAP = "gap"


class Recorder(Protocol):
    """Receives measurements; a call takes a few microseconds and never blocks."""

    def record_first_token(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Record the time from a request's arrival to its first token (HTTP)."""

    def record_token_interval(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Record the mean time between the tokens of one chunk (HTTP)."""

    def record_answer(self, workspace: str, priority: Priority, seconds: float) -> None:
        """Record the time from a request's arrival to its complete answer (HTTP)."""

    def record_queueing(
        self, workspace: str, priority: Priority, seconds: float
    ) -> None:
        """Record the time that an attempt waited for a free slot (routing)."""

    def record_refusal(self, code: Code) -> None:
        """Count a request that ended with an error (HTTP)."""

    def record_retry(self, cause: RetryCause) -> None:
        """Count an attempt after the first one (requests)."""

    def record_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Count prompt and answer tokens that were computed again (requests)."""

    def record_chunk_fault(self, fault: ChunkFault) -> None:
        """Count a dropped chunk (requests)."""

    def record_cost(self, deployment: str, price_class: str, amount: float) -> None:
        """Add the cost of a deployment's hosts (fleet)."""


class NullRecorder:
    """Recorder that ignores all measurements, the default of all components."""

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
