"""Usage of each window, committed to the log before it's reported.

The leader sums the entry hosts' counts and commits them; only then does it report them.
A later leader finds the committed sums, so two reports of a window never differ.
"""

from collections import OrderedDict
from collections.abc import Callable

from absl import logging

from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.leader_lease import LeaderLease
from pepperstep.coordination.records import counts_to_messages, messages_to_counts
from pepperstep.errors import Failure
from pepperstep.observability.decisions import UsageReported
from pepperstep.ports import Agreement, Timers
from pepperstep.ports.usage import UsageLedger, UsageReport
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["USAGE_MACHINE", "UsageMachine", "UsageReporter"]

USAGE_MACHINE = "usage"

# Windows whose sums are kept. Reports are due within seconds, and a new leader repeats
# the latest ones.
_KEPT_WINDOWS = 64
# Time after a window's end until all entry hosts' counts have arrived, in seconds: they
# are sent four times a second, and clocks differ by a fraction of a second.
_SETTLING_SECONDS = 1.5
# Windows before the latest one that a new leader reports again.
_REPEATED_WINDOWS = 2
_PROPOSE_SECONDS = 2.0
_POLL_SECONDS = 0.25
# Pause before a report without an answer is sent again, in seconds.
_RESEND_SECONDS = 1.0


class UsageMachine:
    """State machine with the sums of each window; the first committed ones stay."""

    def __init__(self) -> None:
        self._reports: OrderedDict[int, dict[str, int]] = OrderedDict()

    def get(self, window: int) -> dict[str, int] | None:
        """Return a window's sums, None if there are none."""
        return self._reports.get(window)

    def apply(self, index: int, command: bytes) -> bytes:
        """Commit a window's sums unless it has some; return the committed ones."""
        message = pb.UsageCommand.FromString(command)
        counts = messages_to_counts(message.counts)
        committed = self._reports.setdefault(message.window, counts)
        while len(self._reports) > _KEPT_WINDOWS:
            self._reports.popitem(last=False)
        return _usage_command(message.window, committed).SerializeToString()

    def snapshot(self) -> bytes:
        """Return all sums as bytes."""
        state = pb.UsageState(
            reports=[_usage_command(window, counts) for window, counts in self._items()]
        )
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Restore the state from the bytes of `snapshot`."""
        self._reports.clear()
        for report in pb.UsageState.FromString(data).reports:
            self._reports[report.window] = messages_to_counts(report.counts)

    def _items(self) -> list[tuple[int, dict[str, int]]]:
        return list(self._reports.items())


class UsageReporter:
    """Reports each window's usage while this host holds the leader lease."""

    def __init__(
        self,
        leader_lease: LeaderLease,
        window: float,
        agreement: Agreement,
        entries: EntryHostCatalog,
        ledger: UsageLedger,
        timers: Timers,
        wall: Callable[[], float],
    ):
        self._leader_lease = leader_lease
        self._window = window
        self._agreement = agreement
        self._entries = entries
        self._ledger = ledger
        self._timers = timers
        self._wall = wall
        self._fence = 0
        self._next_window = 0

    async def run(self) -> None:
        """Report until cancelled."""
        async for _ in self._timers.subscribe(_POLL_SECONDS):
            holder = self._leader_lease.holder()
            if holder is None:
                continue
            latest = int((self._wall() - _SETTLING_SECONDS) // self._window) - 1
            if holder.fence != self._fence:
                self._fence = holder.fence
                self._next_window = max(self._next_window, latest - _REPEATED_WINDOWS)
            if self._next_window <= latest and await self._report(self._next_window):
                self._next_window += 1

    async def _report(self, window: int) -> bool:
        """Commit and report one window; return whether it's done."""
        command = _usage_command(window, self._entries.counts_of(window))
        try:
            data = await self._agreement.propose(
                USAGE_MACHINE, command.SerializeToString(), _PROPOSE_SECONDS
            )
        except Failure as failure:
            logging.info("usage: Window %d isn't committed: %s", window, failure.text)
            return False
        counts = messages_to_counts(pb.UsageCommand.FromString(data).counts)
        if not counts:
            return True
        holder = self._leader_lease.holder()
        if holder is None:
            return False
        report = UsageReport(holder.name, holder.fence, window, counts)
        try:
            await self._ledger.report(report)
        except Failure as failure:
            logging.info("usage: Window %d isn't reported: %s", window, failure.text)
            await self._timers.sleep(_RESEND_SECONDS)
            return False
        event = UsageReported(
            window,
            report.fence,
            sum(counts.values()),
            len(counts),
            self._entries.count_reporting_incarnations(window),
        )
        logging.info("usage: %s", event)
        return True


def _usage_command(window: int, counts: dict[str, int]) -> pb.UsageCommand:
    return pb.UsageCommand(window=window, counts=counts_to_messages(counts))
