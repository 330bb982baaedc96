"""Reports of each workspace's usage, for accounting."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["UsageLedger", "UsageReport"]


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Number of requests that started in one accounting window, by workspace."""

    # Reporting host and its fencing token.
    holder: str
    fence: int
    window: int
    counts: dict[str, int]


class UsageLedger(Protocol):
    """Client of the ledger; reports are idempotent."""

    async def report(self, report: UsageReport) -> None:
        """Return once the report is accepted.

        Raise `Failure` with `FENCED` if another host has a higher fencing token,
        and with `PEER_UNREACHABLE` if the result is unknown.
        """
