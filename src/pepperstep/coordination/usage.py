"""Usage of each window, agreed on before it's reported.

The leader adds up what the entry hosts counted and commits the sums; only
then it reports them. A later leader finds the committed sums, so that two
reports of one window never differ.
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

# Windows whose sums are kept: reports are due within seconds, and a new
# leader sends the newest ones again.
_KEPT_WINDOWS = 64
# Time after a window's end until the entry hosts' counts are all there, in
# seconds: they come four times a second, clocks differ by a part of one.
_SETTLE_SECONDS = 1.5
# Windows before the latest that a new leader reports again.
_REPEATED_WINDOWS = 2
_PROPOSE_SECONDS = 2.0
_POLL_SECONDS = 0.25
# A report that got no answer is sent again after so long, in seconds.
_RESEND_SECONDS = 1.0


class UsageMachine:
    """Sums by window; the first that are committed for a window stay."""

    def __init__(self) -> None:
        self._reports: OrderedDict[int, dict[str, int]] = OrderedDict()

    def get(self, window: int) -> dict[str, int] | None:
        """Return a window's sums, None if there are none."""
        return self._reports.get(window)

    def apply(self, index: int, command: bytes) -> bytes:
        """Take a window's sums, unless there are some; return those that hold."""
        message = pb.UsageCommand.FromString(command)
        counts = messages_to_counts(message.counts)
        held = self._reports.setdefault(message.window, counts)
        while len(self._reports) > _KEPT_WINDOWS:
            self._reports.popitem(last=False)
        return _command(message.window, held).SerializeToString()

    def snapshot(self) -> bytes:
        """Return all sums."""
        state = pb.UsageState(
            reports=[_command(window, counts) for window, counts in self._items()]
        )
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Take the state that `snapshot` returned."""
        self._reports.clear()
        for report in pb.UsageState.FromString(data).reports:
            self._reports[report.window] = messages_to_counts(report.counts)

    def _items(self) -> list[tuple[int, dict[str, int]]]:
        return list(self._reports.items())


class UsageReporter:
    """Reports each window's usage while this host leads."""

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
        self._duty = leader_lease
        self._window = window
        self._agreement = agreement
        self._entries = entries
        self._ledger = ledger
        self._timers = timers
        self._wall = wall
        self._fence = 0
        self._next = 0

    async def run(self) -> None:
        """Report until cancelled."""
        async for _ in self._timers.subscribe(_POLL_SECONDS):
            holder = self._duty.holder()
            if holder is None:
                continue
            latest = int((self._wall() - _SETTLE_SECONDS) // self._window) - 1
            if holder.fence != self._fence:
                self._fence = holder.fence
                self._next = max(self._next, latest - _REPEATED_WINDOWS)
            if self._next <= latest and await self._report(self._next):
                self._next += 1

    async def _report(self, window: int) -> bool:
        """Commit and report one window; return whether that's done."""
        command = _command(window, self._entries.counts_of(window))
        try:
            data = await self._agreement.propose(
                USAGE_MACHINE, command.SerializeToString(), _PROPOSE_SECONDS
            )
        except Failure as failure:
            logging.info("usage: Window %d isn't agreed on: %s", window, failure.text)
            return False
        counts = messages_to_counts(pb.UsageCommand.FromString(data).counts)
        if not counts:
            return True
        holder = self._duty.holder()
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
            self._entries.lives_counting(window),
        )
        logging.info("usage: %s", event)
        return True


def _command(window: int, counts: dict[str, int]) -> pb.UsageCommand:
    return pb.UsageCommand(window=window, counts=counts_to_messages(counts))
