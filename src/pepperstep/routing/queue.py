"""A fair queue of accepted requests that wait for an upstream slot."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperstep.entities import Priority, Request
from pepperstep.errors import Execution, Failure
from pepperstep.routing.retries import RetryCause
from pepperstep.routing.work import WorkEstimate

__all__ = ["ORDERS", "FairQueue", "Order", "Waiter"]


@dataclass(eq=False, slots=True)
class Waiter:
    """A waiting attempt, settled by a placement or a failure."""

    work: WorkEstimate
    excluded: frozenset[str]
    # Seconds that the attempt is expected to hold a slot.
    cost: float
    # Unix time after which the attempt can't meet its deadline.
    latest_start: float
    queued_at: float
    # Seconds of waiting predicted at admission.
    predicted_wait: float = 0.0
    attempt: int = 1
    cause: RetryCause | None = None
    # Whether earlier attempts may have run, as a failure reports it.
    execution: Execution = Execution.NOT_RUN
    result: Any = None
    failure: Failure | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def is_settled(self) -> bool:
        """Whether the attempt has a placement or a failure."""
        return self.result is not None or self.failure is not None

    def wake(self) -> None:
        """Wake the waiting task to check whether it is settled or has to poll."""
        self.changed.set()
        self.changed = trio.Event()


Order = Callable[[Request], tuple[Priority, str]]


def order_fairly(request: Request) -> tuple[Priority, str]:
    """Order by priority class, and fairly among workspaces."""
    return request.priority, request.workspace


def order_by_arrival(request: Request) -> tuple[Priority, str]:
    """Order all requests by arrival."""
    return Priority.STANDARD, ""


ORDERS: dict[str, Order] = {"fair": order_fairly, "fifo": order_by_arrival}


_CLASSES = tuple(Priority)


class _ClassQueue:
    """Waiters of one priority class by workspace, for start-time fair queueing."""

    def __init__(self):
        self.waiters: dict[str, deque[Waiter]] = {}
        # Virtual start time of each workspace's next waiter.
        self.virtual_starts: dict[str, float] = {}
        self.virtual_time = 0.0
        # Starts due to this class ahead of higher ones; 1.0 makes a start due.
        self.credit = 0.0

    def push(self, workspace: str, waiter: Waiter) -> None:
        waiters = self.waiters.setdefault(workspace, deque())
        if not waiters:
            self.virtual_starts[workspace] = max(
                self.virtual_starts.get(workspace, 0.0), self.virtual_time
            )
        # Retries go first, as their requests have waited before.
        if waiter.attempt > 1:
            waiters.appendleft(waiter)
        else:
            waiters.append(waiter)

    def pop(self, workspace: str, charge: float) -> None:
        waiters = self.waiters[workspace]
        waiters.popleft()
        start = self.virtual_starts[workspace]
        self.virtual_time = max(self.virtual_time, start)
        self.virtual_starts[workspace] = start + charge
        if not waiters:
            del self.waiters[workspace]
            self._prune()

    def _prune(self) -> None:
        if len(self.virtual_starts) <= 2 * len(self.waiters) + 64:
            return
        self.virtual_starts = {
            workspace: start
            for workspace, start in self.virtual_starts.items()
            if workspace in self.waiters or start > self.virtual_time
        }


class FairQueue:
    """Start-time fair queueing over workspaces within priority classes.

    Higher classes start first, except that a small share of the starts goes to
    lower classes that wait, so that no class starves.
    """

    def __init__(
        self, order: Order, weight_of: Callable[[str], float], lower_class_share: float
    ):
        self._order = order
        self._weight_of = weight_of
        self._lower_class_share = lower_class_share
        self._class_queues = [_ClassQueue() for _ in _CLASSES]
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def is_empty_for(self, request: Request) -> bool:
        """Whether no waiter would start before the request."""
        priority, _ = self._order(request)
        return not any(
            class_queue.waiters for class_queue in self._class_queues[: priority + 1]
        )

    def has_credit(self, request: Request) -> bool:
        """Whether the request's class is due a start ahead of higher classes."""
        return self._class_queues[self._order(request)[0]].credit >= 1.0

    def work_ahead(
        self, request: Request, hold_time_of: Callable[[Priority], float]
    ) -> float:
        """Return the slot-seconds of work to be done before the request starts."""
        priority, workspace = self._order(request)
        above = sum(
            self._count(each) * hold_time_of(each) for each in _CLASSES[:priority]
        )
        class_queue = self._class_queues[priority]
        weights = sum(map(self._weight_of, {*class_queue.waiters, workspace}))
        share = self._weight_of(workspace) / weights
        own = len(class_queue.waiters.get(workspace, ())) + 1
        ahead = min(own / share, self._count(priority) + 1)
        return above + ahead * hold_time_of(priority)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter; a retry goes to the front of its workspace."""
        priority, workspace = self._order(waiter.work.request)
        self._class_queues[priority].push(workspace, waiter)
        self._size += 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter without starting it."""
        priority, workspace = self._order(waiter.work.request)
        class_queue = self._class_queues[priority]
        waiters = class_queue.waiters.get(workspace, deque())
        if waiter in waiters:
            waiters.remove(waiter)
            self._size -= 1
        if not waiters:
            class_queue.waiters.pop(workspace, None)

    def pop(self, waiter: Waiter) -> None:
        """Remove a waiter yielded by `heads` and charge its workspace for the start."""
        priority, workspace = self._order(waiter.work.request)
        weight = self._weight_of(workspace)
        self._class_queues[priority].pop(workspace, waiter.cost / weight)
        self._size -= 1
        self._update_credits(priority)

    def adjust_charge(self, waiter: Waiter, seconds: float) -> None:
        """Charge a workspace for the seconds a waiter held beyond its cost."""
        priority, workspace = self._order(waiter.work.request)
        virtual_starts = self._class_queues[priority].virtual_starts
        if workspace in virtual_starts:
            virtual_starts[workspace] += seconds / self._weight_of(workspace)

    def heads(self) -> Iterator[Waiter]:
        """Yield the first waiter of each workspace in starting order."""
        for priority in self._ordered_classes():
            class_queue = self._class_queues[priority]
            workspaces = list(class_queue.waiters)
            if len(workspaces) > 1:
                workspaces.sort(key=class_queue.virtual_starts.__getitem__)
            for workspace in workspaces:
                yield class_queue.waiters[workspace][0]

    def pop_expired(self, now: float) -> list[Waiter]:
        """Remove and return the waiters whose latest start (Unix time) has passed."""
        expired = [
            waiter
            for waiters in self._all_waiters()
            for waiter in waiters
            if waiter.latest_start < now
        ]
        for waiter in expired:
            self.remove(waiter)
        return expired

    def _count(self, priority: Priority) -> int:
        return sum(map(len, self._class_queues[priority].waiters.values()))

    def _all_waiters(self) -> Iterator[deque[Waiter]]:
        for class_queue in self._class_queues:
            yield from class_queue.waiters.values()

    def _ordered_classes(self) -> list[Priority]:
        waiting = [each for each in _CLASSES if self._class_queues[each].waiters]
        if len(waiting) > 1:
            waiting.sort(key=lambda priority: self._class_queues[priority].credit < 1.0)
        return waiting

    def _update_credits(self, started: Priority) -> None:
        """Spend the started class's credit, and credit waiting lower classes."""
        class_queue = self._class_queues[started]
        class_queue.credit = max(0.0, class_queue.credit - 1.0)
        for below in self._class_queues[started + 1 :]:
            if below.waiters:
                below.credit = min(1.0, below.credit + self._lower_class_share)
