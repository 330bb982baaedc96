"""A host's share of what all entry hosts share, and the retries it allows."""

import random

import pytest

from pepperstep.coordination import HostShare
from pepperstep.relay.budget import BudgetSettings, RetryBudget

WINDOW = 10.0
ALLOWANCE = 180.0
SETTINGS = BudgetSettings(ratio=0.2, window=WINDOW, allowance=ALLOWANCE)


class Clock:
    """A monotonic clock that a test advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    """Return a clock at 0."""
    return Clock()


@pytest.fixture
def share(clock) -> HostShare:
    """Return the share of a host without any reports."""
    return HostShare(WINDOW, clock)


def report_hosts(share: HostShare, clock: Clock, hosts: int, seconds: float) -> None:
    """Report the number of hosts twice a second."""
    for _ in range(round(2 * seconds)):
        clock.now += 0.5
        share.record_host_count(hosts)


def test_host_without_reports_has_no_share(share, clock):
    assert share.part == 0.0
    report_hosts(share, clock, 4, 1.0)
    assert share.part == 0.25
    clock.now += 2.0
    assert share.part == 0.0


def test_lower_host_count_applies_after_a_window(share, clock):
    report_hosts(share, clock, 50, 1.0)
    report_hosts(share, clock, 1, WINDOW - 1.0)
    assert share.hosts == 50
    report_hosts(share, clock, 2, 2.0)
    assert share.hosts == 2


def test_credit_is_reset_after_a_long_loss_of_contact(share, clock):
    report_hosts(share, clock, 4, 8.0)
    assert share.credit > 1.0
    clock.now += 8.0
    share.record_host_count(4)
    assert (share.credit, share.joins) == (0.0, 2)


def test_short_loss_of_contact_keeps_the_saved_retries(share, clock):
    budget = RetryBudget(SETTINGS, share, clock)
    report_hosts(share, clock, 10, 12.0)
    before = budget.state_of("plain").saved
    assert before > 2
    clock.now += 3.0
    assert not budget.try_spend("plain")
    share.record_host_count(10)
    assert budget.try_spend("plain")
    assert budget.state_of("plain").saved <= before


@pytest.mark.parametrize("seed", range(20))
def test_restarting_hosts_never_exceed_the_allowance_in_a_window(clock, seed):
    rng = random.Random(seed)
    count = rng.choice([1, 5, 12, 55])
    retry_times = []

    def start() -> tuple[HostShare, RetryBudget]:
        share = HostShare(WINDOW, clock)
        return share, RetryBudget(SETTINGS, share, clock)

    hosts = [start() for _ in range(count)]
    for _ in range(160):
        clock.now += 0.25
        for number, (share, budget) in enumerate(hosts):
            share.record_host_count(count)
            while rng.random() < 0.9 and budget.try_spend("plain"):
                retry_times.append(clock.now)
            if rng.random() < 0.05:
                hosts[number] = start()
    for window_start in retry_times:
        assert (
            sum(window_start <= each <= window_start + WINDOW for each in retry_times)
            <= ALLOWANCE
        )
    assert retry_times
