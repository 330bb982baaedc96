"""A host's part of what all entry hosts share, and the retries that it allows."""

import random

import pytest

from pepperstep.coordination import HostShare
from pepperstep.relay.budget import BudgetSettings, RetryBudget

WINDOW = 10.0
ALLOWANCE = 180.0
SETTINGS = BudgetSettings(ratio=0.2, window=WINDOW, allowance=ALLOWANCE)


class Clock:
    """Monotonic time that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    """Give a clock at 0."""
    return Clock()


@pytest.fixture
def share(clock) -> HostShare:
    """Give the share of a host that has been told of nothing."""
    return HostShare(WINDOW, clock)


def tell(share: HostShare, clock: Clock, hosts: int, seconds: float) -> None:
    """Let a share be told twice a second."""
    for _ in range(round(2 * seconds)):
        clock.now += 0.5
        share.record_host_count(hosts)


def test_host_without_word_has_no_part(share, clock):
    assert share.part == 0.0
    tell(share, clock, 4, 1.0)
    assert share.part == 0.25
    clock.now += 2.0
    assert share.part == 0.0


def test_lower_number_counts_after_a_window_only(share, clock):
    tell(share, clock, 50, 1.0)
    tell(share, clock, 1, WINDOW - 1.0)
    assert share.hosts == 50
    tell(share, clock, 2, 2.0)
    assert share.hosts == 2


def test_host_out_of_contact_for_long_begins_anew(share, clock):
    tell(share, clock, 4, 8.0)
    assert share.credit > 1.0
    clock.now += 8.0
    share.record_host_count(4)
    assert (share.credit, share.joins) == (0.0, 2)


def test_short_loss_of_contact_gives_nothing_and_takes_nothing(share, clock):
    budget = RetryBudget(SETTINGS, share, clock)
    tell(share, clock, 10, 12.0)
    before = budget.state_of("plain").saved
    assert before > 2
    clock.now += 3.0
    assert not budget.take("plain")
    share.record_host_count(10)
    assert budget.take("plain")
    assert budget.state_of("plain").saved <= before


@pytest.mark.parametrize("seed", range(20))
def test_lives_of_all_hosts_send_one_allowance_in_any_window(clock, seed):
    rng = random.Random(seed)
    count = rng.choice([1, 5, 12, 55])
    times = []

    def start() -> tuple[HostShare, RetryBudget]:
        share = HostShare(WINDOW, clock)
        return share, RetryBudget(SETTINGS, share, clock)

    hosts = [start() for _ in range(count)]
    for _ in range(160):
        clock.now += 0.25
        for number, (share, budget) in enumerate(hosts):
            share.record_host_count(count)
            while rng.random() < 0.9 and budget.take("plain"):
                times.append(clock.now)
            if rng.random() < 0.05:
                hosts[number] = start()
    for first in times:
        assert sum(first <= each <= first + WINDOW for each in times) <= ALLOWANCE
    assert times
