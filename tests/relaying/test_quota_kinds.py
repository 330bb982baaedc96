"""Quotas of all kinds: without a burst, small and large, in requests and in tokens.

What callers ask within the rate is served, in clumps too, and what all hosts admit in
any window is within the tolerance.
"""

import random
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from pepperstep.entities.routes import Quota, RouteTable, Workspace
from pepperstep.relay.quota_limits import QuotaTolerance
from pepperstep.relay.quotas import Quotas
from tests.relaying.test_quota_windows import WINDOW, Hosts, max_in_a_window

PROPERTY = settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    # A play takes too long to be shrunk.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
SECONDS = 24.0
# Time after which new hosts have filled their buckets and know each other's spending.
START_SECONDS = 4.0
# Time after a change until all hosts have it, and until its limit binds.
APPLY_SECONDS = 0.4
BINDING_SECONDS = 2.0
EXCHANGE_SECONDS = 0.25


@dataclass(frozen=True)
class Kind:
    """A quota, and the costs of the requests that it's asked for."""

    rate: float
    burst: float
    costs: tuple[int, ...] = (1,)
    counts_tokens: bool = False
    overage: float = 0.1
    allowance: float = 0.0

    @property
    def workspace(self) -> Workspace:
        """A workspace with the quota."""
        quota = Quota(self.rate, self.burst, self.counts_tokens, plain_tokens=200)
        return Workspace("desk", ("k",), quota=quota)

    @property
    def tolerance(self) -> QuotaTolerance:
        """The deployment's tolerance."""
        return QuotaTolerance(self.overage, self.allowance, WINDOW)

    @property
    def allowed(self) -> float:
        """Largest amount in any window."""
        allowance = self.allowance if self.counts_tokens else 0.0
        return (self.rate * WINDOW + self.burst) * (1 + self.overage) + allowance


@dataclass(frozen=True)
class Demand:
    """Requests in clumps, each request at a random host."""

    # As a multiple of the quota's rate.
    factor: float
    # Requests in a clump.
    clump: int = 1


class Play:
    """Hosts with one quota, which are asked for `SECONDS`."""

    def __init__(self, kind: Kind, count: int, owner: int | None, seed: int = 0):
        self._rng = random.Random(seed)
        self._kind = kind
        self._count = count
        self.hosts = Hosts(count, self._rng, owner, kind.workspace, kind.tolerance)
        self.hosts.watch()
        self._exchange_times = [self._rng.random() * EXCHANGE_SECONDS] * count
        self.asked: list[tuple[float, int]] = []
        self.admitted: list[tuple[float, int]] = []

    def run(self, demand: Demand, until: float = SECONDS) -> None:
        """Ask for requests until a time, in clumps at almost regular intervals."""
        costs = self._kind.costs
        mean = demand.clump * sum(costs) / len(costs)
        pause = mean / (demand.factor * self._kind.rate)
        while self.hosts.now + pause < until:
            self._pass_time(pause * self._rng.uniform(0.8, 1.2))
            for _ in range(demand.clump):
                self._ask(self._rng.choice(costs))

    def change(self, kind: Kind) -> None:
        """Change the quota; each host learns of it within `APPLY_SECONDS`."""
        self._kind = kind
        self.hosts.change(kind.workspace, APPLY_SECONDS)

    def restart_all(self, down_seconds: float) -> None:
        """Restart all hosts after some seconds without any."""
        self.hosts.now += down_seconds
        self._exchange_times = [
            self.hosts.now + self._rng.random() * EXCHANGE_SECONDS
            for _ in self._exchange_times
        ]
        self.hosts.restart_all()

    def served(self, since: float) -> float:
        """Return the admitted fraction of the cost asked for since a time."""
        asked = sum(cost for now, cost in self.asked if now >= since)
        return sum(cost for now, cost in self.admitted if now >= since) / asked

    def _ask(self, cost: int) -> None:
        now = self.hosts.now
        self.asked.append((now, cost))
        if self.hosts.admit(self._rng.randrange(self._count), cost):
            self.admitted.append((now, cost))

    def _pass_time(self, seconds: float) -> None:
        end = self.hosts.now + seconds
        while (due := min(self._exchange_times)) < end:
            host = self._exchange_times.index(due)
            self.hosts.now = max(self.hosts.now, due)
            self.hosts.exchange(host)
            pause = EXCHANGE_SECONDS * self._rng.uniform(0.9, 1.3)
            self._exchange_times[host] = due + pause
        self.hosts.now = end


rates = st.sampled_from((5.0, 20.0, 80.0, 200.0, 1_000.0))
# Bursts in seconds of the rate; 0 and 1 request are drawn besides.
bursts = st.sampled_from((0.0, 0.01, 0.3, 1.0, 3.0))
overages = st.sampled_from((0.0, 0.1, 0.2))
request_kinds = st.builds(
    lambda rate, burst, is_one, overage: Kind(
        rate, 1.0 if is_one else burst * rate, overage=overage
    ),
    rates,
    bursts,
    st.booleans(),
    overages,
)
token_kinds = st.builds(
    lambda rate, burst, costs, overage, allowance: Kind(
        1_000 * rate, 1_000 * rate * burst, costs, True, overage, allowance
    ),
    rates,
    bursts,
    st.sampled_from(((700,), (200, 2_400), (700, 2_400, 4_500))),
    overages,
    st.sampled_from((0.0, 110_000.0)),
)
kinds = request_kinds | token_kinds
counts = st.sampled_from((2, 2, 7, 7, 300))


@pytest.mark.parametrize("overage", [0.0, 0.1])
@pytest.mark.parametrize("window", [0.0, 8.0])
@pytest.mark.parametrize("counts_tokens", [False, True])
@pytest.mark.parametrize("rate", [1e-300, 0.5, 1_000.0, 1e300])
async def test_quota_without_a_burst_raises_nothing(
    autojump_clock, rate, counts_tokens, window, overage
):
    """Guards against a valid quota that ends each host with its next poll."""
    quota = Quota(rate, 0.0, counts_tokens)
    workspace = Workspace("desk", ("k",), quota=quota)
    now = 0.0
    quotas = Quotas(lambda: 6, lambda: now, QuotaTolerance(overage, window=window))
    quotas.watch(RouteTable(1, workspaces=(workspace,)))
    for step in range(20):
        now += 0.3
        assert quotas.has_active_workspace in (True, False)
        admission = await quotas.admit(workspace, 1.0)
        assert 0.0 <= admission.wait <= 5.0
        quotas.record_spent_elsewhere("desk", 3 * step)
        quotas.grant("desk", 1.0, is_own=False)
    quotas.refill_after_restart()
    assert quotas.state_of("desk").reserve >= 0.0


@PROPERTY
@given(kinds, counts, st.sampled_from((0.4, 0.8)), st.sampled_from((1, 2, 4)))
def test_demand_within_the_rate_is_served(kind, count, factor, clump):
    """Guards against refusals of clumps since the quota has little or no burst."""
    play = Play(kind, count, owner=0)
    play.run(Demand(factor, clump))
    assert play.served(since=START_SECONDS) >= 0.95


@PROPERTY
@given(kinds, counts, st.sampled_from((1.2, 2.0, 8.0)), st.sampled_from((1, 4)))
def test_no_window_exceeds_the_tolerance(kind, count, factor, clump):
    """Guards against a burst that is larger than what the tolerance allows."""
    play = Play(kind, count, owner=0)
    play.run(Demand(factor, clump))
    assert max_in_a_window(play.admitted) <= kind.allowed


@pytest.mark.parametrize("count", [2, 7, 300])
@pytest.mark.parametrize("rate", [20.0, 200.0, 1_000.0])
@pytest.mark.parametrize("burst", [0.0, 1.0, 200.0])
@pytest.mark.parametrize("factor", [2.0, 8.0])
def test_no_window_exceeds_the_tolerance_without_an_owner(count, rate, burst, factor):
    """Guards against shares of which each may be overdrawn by one request."""
    kind = Kind(rate, burst)
    play = Play(kind, count, owner=None)
    play.run(Demand(factor, 2))
    assert max_in_a_window(play.admitted) <= kind.allowed


@pytest.mark.parametrize("owner", [None, 0])
@pytest.mark.parametrize("count", [2, 7])
@pytest.mark.parametrize("rate", [20.0, 200.0])
@pytest.mark.parametrize("factor", [2.0, 8.0])
def test_no_window_exceeds_the_tolerance_when_all_hosts_restart(
    factor, rate, count, owner
):
    """Guards against a refill by a burst that the quota doesn't have."""
    kind = Kind(rate, 0.0)
    play = Play(kind, count, owner)
    play.run(Demand(factor, 2), until=12.0)
    play.restart_all(down_seconds=1.0)
    play.run(Demand(factor, 2))
    assert max_in_a_window(play.admitted) <= kind.allowed


CHANGES = {
    "lower": (Kind(400.0, 400.0), Kind(20.0, 0.0)),
    "much lower": (Kind(1_000.0, 3_000.0), Kind(5.0, 0.0)),
    "without burst": (Kind(100.0, 300.0), Kind(100.0, 0.0)),
    "higher": (Kind(20.0, 0.0), Kind(400.0, 100.0)),
    "lower, in tokens": (
        Kind(400_000.0, 400_000.0, (200, 2_400), True, allowance=110_000.0),
        Kind(20_000.0, 0.0, (200, 2_400), True, allowance=110_000.0),
    ),
    "other unit": (
        Kind(400_000.0, 400_000.0, (200, 2_400), True, allowance=110_000.0),
        Kind(20.0, 0.0),
    ),
    "tokens": (Kind(100.0, 0.0), Kind(50_000.0, 0.0, (200, 2_400), True)),
}
change_cases = pytest.mark.parametrize("change", CHANGES)


@pytest.mark.parametrize("before", [0.8, 4.0])
@pytest.mark.parametrize("count", [2, 7, 60])
@change_cases
def test_demand_within_a_changed_rate_is_served(change, count, before):
    """Guards against refusals for what was spent under the quota before."""
    first, second = CHANGES[change]
    play = Play(first, count, owner=0)
    play.run(Demand(before, 2), until=10.0)
    play.change(second)
    play.run(Demand(0.7, 2))
    assert play.served(since=10.0 + BINDING_SECONDS) >= 0.95


@pytest.mark.parametrize("count", [2, 7, 60])
@change_cases
def test_no_window_exceeds_a_changed_quota(change, count):
    """Guards against an excess since a host takes the earlier quota for the later."""
    first, second = CHANGES[change]
    play = Play(first, count, owner=0)
    play.run(Demand(4.0, 2), until=10.0)
    play.change(second)
    play.run(Demand(4.0, 2))
    after = [each for each in play.admitted if each[0] >= 10.0 + BINDING_SECONDS]
    assert max_in_a_window(after) <= second.allowed
