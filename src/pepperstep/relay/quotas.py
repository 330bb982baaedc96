"""Workspace quotas that hold across all entry hosts.

Each quota is a token bucket shared by all hosts. A host knows its own spending and
learns the other hosts' spending a fraction of a second later. While the bucket holds
more than all hosts can spend within that delay, each host admits requests by itself.
Below that reserve, one host, the workspace's owner, grants the remaining tokens to all
(`quota_claims`). If the owner doesn't answer, each host spends only from its share of
the rate, which bounds the excess however many hosts decide at the same time.

Besides, each host keeps the known total of the latest window and stops at what the
deployment tolerates there. So a small burst may be enlarged without a larger excess.

While the bucket is low, all hosts have equal shares. Shares grow with the bucket's
level, because callers are spread unevenly and some of the counted hosts are gone. A
host without contact uses only a fraction of its share, as the other hosts spend the
rest.
"""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from pepperstep.entities.routes import Quota, RouteTable, Workspace
from pepperstep.relay.quota_limits import BucketSize, QuotaTolerance, SlidingTotal

__all__ = ["Admission", "Claim", "QuotaState", "Quotas"]

# Asks a workspace's owner to charge a cost to its quota; None without an answer.
Claim = Callable[[str, float], Awaitable["Admission | None"]]

# Time until all other hosts know a host's spending: its report to a control host and
# the control host's next reply to another host, each up to 0.2 s late.
_PROPAGATION_SECONDS = 0.4
# Time constant of the exponentially weighted averages of demand and spending.
_DEMAND_TIME_CONSTANT_SECONDS = 1.0
# Weight of each request in the moving average of the cost.
_COST_SMOOTHING = 0.1
# A host's demand is extrapolated to all hosts only above this many requests: with many
# hosts, a single request says nothing about the total demand.
_DEMAND_THRESHOLD_REQUESTS = 0.5
# Fraction of the quota's burst that all hosts together may spend from their shares.
_SHARE_BURST_FRACTION = 0.5
# Growth of a host's share of the rate while the bucket is full; at half the burst, the
# share is an equal one. The growth distributes the shares of hosts that are gone, and
# still keeps two hosts without contact within the tolerance.
_MAX_SHARE_GROWTH = 2.0
# Fraction of its share that a host without contact uses, as the other hosts soon spend
# the rest.
_ISOLATED_SHARE_FRACTION = 0.25
# Fraction of its share's burst that a starting host may spend. Hosts that all start at
# once admit an extra quarter of the quota's burst.
_INITIAL_SHARE_FRACTION = 0.5
# Minimum time without admissions when all hosts restart: from the end of their previous
# incarnations to the first reply of a control host.
_RESTART_SECONDS = 1.0
# Time after the first table, in seconds, in which this host may learn that all hosts
# have restarted: they start within tenths of a second of each other.
_STARTUP_SECONDS = 0.5
# Below this fraction of its burst, a workspace's counts must be exchanged quickly.
_ACTIVE_BELOW_FRACTION = 0.9
# Time for which a refund can be spent again. It counts towards the window in which it
# was first spent.
_CREDIT_LIFETIME_SECONDS = 1.0
# Time after a change of a quota in which other hosts may still report what they spent
# before it.
_CHANGE_SECONDS = 1.0
# Time within which hosts report grants as spent: one exchange each of the spending
# host, a control host and this host, one of them lost.
_GRANT_REPORT_SECONDS = 3.0
# Longest retry-after for a caller over its quota.
_MAX_WAIT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision on charging a request's cost to a quota."""

    # Seconds until the cost is available, 0 if it was charged.
    wait: float = 0.0
    # The host that decided, "" for this host alone, and the bucket's level there.
    asked: str = ""
    left: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaState:
    """Inputs of a decision on a workspace's quota, in the quota's unit."""

    # Tokens left for all hosts, and in this host's share.
    level: float
    share_level: float
    # Amount that hosts may spend before they know of each other's spending.
    reserve: float
    # Number of hosts that share the quota.
    hosts: int


@dataclass(slots=True)
class _Bucket:
    """Token bucket of a workspace: the shared level, and this host's share."""

    quota: Quota
    size: BucketSize
    # Spending of all hosts in the latest window, as far as this host knows it, and its
    # limit.
    spent: SlidingTotal
    window_limit: float
    level: float
    share_level: float
    filled_at: float
    # Exponentially weighted average of the requested cost a second.
    demand_rate: float = 0.0
    # Moving average of the cost of requests to this host.
    mean_cost: float = 0.0
    # Exponentially weighted average of the other hosts' spending a second.
    peer_spending_rate: float = 0.0
    # Total cost that this host has admitted.
    admitted: int = 0
    # Refunded cost of admitted requests that haven't run, and the time of the refund.
    credit: float = 0.0
    credit_at: float = 0.0
    # Times and costs of grants to other hosts that are already subtracted from `level`
    # but not yet in the other hosts' totals.
    unreported_grants: deque[tuple[float, float]] = field(default_factory=deque)
    # Monotonic time from which other hosts' reports concern this quota.
    counts_from: float = float("-inf")

    def reset_averages(self, quota: Quota) -> None:
        """Drop the averages and credits, which are in the unit of another quota."""
        self.mean_cost = 0.0 if quota.counts_tokens else 1.0
        self.demand_rate = self.peer_spending_rate = self.credit = 0.0
        self.unreported_grants.clear()


class Quotas:
    """One host's view of all workspaces' quotas."""

    def __init__(
        self,
        host_count: Callable[[], int],
        now: Callable[[], float],
        tolerance: QuotaTolerance | None = None,
        is_in_contact: Callable[[], bool] = lambda: True,
        phase: float = 0.0,
    ):
        """Initialize; `phase`, from 0 to 1, should differ between hosts."""
        self._host_count = host_count
        self._is_in_contact = is_in_contact
        self._phase = phase
        self._now = now
        self._tolerance = tolerance or QuotaTolerance()
        self._buckets: dict[str, _Bucket] = {}
        # Total cost that other hosts have admitted, by workspace.
        self._spent_elsewhere: dict[str, int] = {}
        # Time of the first table, None before.
        self._started_at: float | None = None
        self._refilled = trio.Event()

    def watch(self, table: RouteTable) -> None:
        """Create the buckets of a table's workspaces, so that they start to fill.

        Buckets start almost empty, as a starting host doesn't know what has been spent.
        A bucket created at the first request would refuse it.
        """
        if self._started_at is None:
            self._started_at = self._now()
        for workspace in table.workspaces:
            if workspace.quota is not None and workspace.quota.rate > 0:
                self._bucket_of(workspace.name, workspace.quota)

    def refill_after_restart(self) -> None:
        """Refill the buckets after a restart of all hosts, during which none spent."""
        for bucket in self._buckets.values():
            self._fill(bucket)
            refill = min(_RESTART_SECONDS * bucket.size.rate, bucket.size.refill)
            bucket.level = min(bucket.size.burst, bucket.level + refill)
            share = min(refill, self._share_burst(bucket))
            bucket.share_level = max(bucket.share_level, share)
        self._refilled.set()

    @property
    def startup_remaining(self) -> float:
        """Seconds for which this host or an owner may yet learn of a restart of all.

        Until then, refusals may only be due to the small initial level.
        """
        if self._started_at is None:
            return 0.0
        return max(0.0, self._started_at + _STARTUP_SECONDS - self._now())

    @property
    def is_refilled(self) -> bool:
        """Whether this host has learnt that all hosts have restarted."""
        return self._refilled.is_set()

    async def wait_refilled(self) -> None:
        """Return once this host has learnt that all hosts have restarted."""
        await self._refilled.wait()

    @property
    def has_active_workspace(self) -> bool:
        """Whether any workspace has spent more than a tenth of its burst."""
        for bucket in self._buckets.values():
            self._fill(bucket)
            if bucket.level < _ACTIVE_BELOW_FRACTION * bucket.size.burst:
                return True
        return False

    async def admit(
        self,
        workspace: Workspace,
        cost: float,
        claim: Claim | None = None,
        *,
        is_repeated: bool = False,
    ) -> Admission:
        """Charge `cost` to a workspace's quota, or return how long to wait for it.

        A repeated call for the same request doesn't count as new demand.
        """
        if workspace.quota is None or workspace.quota.rate <= 0:
            return Admission()
        bucket = self._bucket_of(workspace.name, workspace.quota)
        if not is_repeated:
            self._record_demand(bucket, cost)
        if self._credit_of(bucket) >= cost:
            bucket.credit -= cost
            return Admission()
        if self._has_reserve(bucket, cost):
            self._stagger_share(bucket)
            self._spend(bucket, cost)
            return Admission()
        admission = None if claim is None else await claim(workspace.name, cost)
        if admission is None:
            return Admission(self._spend_from_share(bucket, cost))
        if not admission.wait:
            self._spend(bucket, cost)
        return admission

    def grant(self, workspace: str, cost: float, is_own: bool) -> Admission | None:
        """Grant `cost` from the shared bucket if enough is left.

        Return None if this host can't decide. A grant to another host is subtracted at
        once, and not again when that host reports it as spent.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None or not self._is_in_contact():
            return None
        self._fill(bucket)
        size = bucket.size
        deficit = min(cost + size.ungranted, size.burst) - bucket.level
        wait = max(deficit / size.rate, self._window_wait(bucket, cost))
        if wait > 0:
            return Admission(min(wait, _MAX_WAIT_SECONDS), left=bucket.level)
        if not is_own:
            bucket.level -= cost
            bucket.spent.add(cost, self._now())
            bucket.unreported_grants.append((self._now(), cost))
        return Admission(left=bucket.level)

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Credit the cost of an admitted request that hasn't run to later requests.

        The admitted total stays, as hosts exchange totals that only grow.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.credit = self._credit_of(bucket) + cost
            bucket.credit_at = self._now()

    def state_of(self, workspace: str) -> QuotaState:
        """Return the inputs of the latest decision on a workspace with a bucket."""
        bucket = self._buckets[workspace]
        reserve = self._reserve(bucket)
        hosts = self._host_count()
        return QuotaState(bucket.level, bucket.share_level, reserve, hosts)

    def admitted(self) -> dict[str, int]:
        """Return the total cost that this host has admitted, by workspace."""
        return {name: each.admitted for name, each in self._buckets.items()}

    def record_spent_elsewhere(self, workspace: str, total: int) -> None:
        """Apply the total cost that all other hosts have admitted.

        `total` counts from this host's start on, so that its first growth counts too.
        """
        known = self._spent_elsewhere.get(workspace, 0)
        spent = total - known
        if spent <= 0:
            return
        self._spent_elsewhere[workspace] = total
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return
        self._fill(bucket)
        not_granted = spent - self._settle_grants(bucket, spent)
        bucket.peer_spending_rate += spent / _DEMAND_TIME_CONSTANT_SECONDS
        if self._now() >= bucket.counts_from:
            bucket.level = max(-bucket.size.burst, bucket.level - not_granted)
            bucket.spent.add(not_granted, self._now())

    def _bucket_of(self, workspace: str, quota: Quota) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = self._new_bucket(quota)
            return bucket
        self._fill(bucket)
        if bucket.quota != quota:
            self._change_quota(bucket, quota)
        bucket.size = self._tolerance.bucket_for(quota, bucket.mean_cost)
        return bucket

    def _change_quota(self, bucket: _Bucket, quota: Quota) -> None:
        """Apply a changed quota, for which nothing counts that was spent before.

        A debt from a higher rate would take too long to repay at a lower one.
        """
        if bucket.quota.counts_tokens != quota.counts_tokens:
            bucket.reset_averages(quota)
        bucket.quota = quota
        bucket.size = self._tolerance.bucket_for(quota, bucket.mean_cost)
        bucket.window_limit = self._tolerance.window_limit(quota)
        bucket.spent = SlidingTotal(self._tolerance.window)
        bucket.counts_from = self._now() + _CHANGE_SECONDS
        bucket.level = min(max(0.0, bucket.level), bucket.size.burst)
        bucket.share_level = min(bucket.share_level, self._share_burst(bucket))

    def _new_bucket(self, quota: Quota) -> _Bucket:
        """Return a bucket with little in it.

        A starting host doesn't know what the other hosts and its own previous
        incarnation have spent.
        """
        bucket = _Bucket(
            quota=quota,
            size=self._tolerance.bucket_for(quota, 0.0),
            spent=SlidingTotal(self._tolerance.window),
            window_limit=self._tolerance.window_limit(quota),
            level=0.0,
            share_level=0.0,
            filled_at=self._now(),
        )
        bucket.reset_averages(quota)
        level = _INITIAL_SHARE_FRACTION * self._share_burst(bucket)
        bucket.level = bucket.share_level = level
        return bucket

    def _fill(self, bucket: _Bucket) -> None:
        now = self._now()
        elapsed = now - bucket.filled_at
        bucket.filled_at = now
        decay = math.exp(-elapsed / _DEMAND_TIME_CONSTANT_SECONDS)
        bucket.demand_rate *= decay
        bucket.peer_spending_rate *= decay
        level = bucket.level + elapsed * bucket.size.rate
        bucket.level = min(bucket.size.burst, level)
        share_level = bucket.share_level + elapsed * self._share_rate(bucket)
        bucket.share_level = min(self._share_burst(bucket), share_level)

    def _spend(self, bucket: _Bucket, cost: float) -> None:
        bucket.level -= cost
        bucket.spent.add(cost, self._now())
        bucket.admitted += round(cost)

    def _spend_from_share(self, bucket: _Bucket, cost: float) -> float:
        """Charge this host's share and return 0, or the seconds until it suffices."""
        deficit = min(cost, self._share_burst(bucket)) - bucket.share_level
        wait = max(
            deficit / self._share_rate(bucket),
            self._window_wait(bucket, cost, self._unknown_spending(bucket)),
        )
        if wait > 0:
            return min(wait, _MAX_WAIT_SECONDS)
        bucket.share_level -= cost
        self._spend(bucket, cost)
        return 0.0

    def _settle_grants(self, bucket: _Bucket, spent: float) -> float:
        """Return how much of the other hosts' spending was already granted here."""
        oldest = self._now() - _GRANT_REPORT_SECONDS
        while bucket.unreported_grants and bucket.unreported_grants[0][0] < oldest:
            bucket.unreported_grants.popleft()
        settled = 0.0
        while bucket.unreported_grants and settled < spent:
            granted_at, cost = bucket.unreported_grants.popleft()
            amount = min(cost, spent - settled)
            settled += amount
            if amount < cost:
                bucket.unreported_grants.appendleft((granted_at, cost - amount))
        return settled

    def _stagger_share(self, bucket: _Bucket) -> None:
        """Stagger the share between hosts if it's smaller than a typical request.

        A host may overdraw its share with one request and wait afterwards. Without the
        stagger, many hosts would do so at once when a workspace's demand jumps.
        """
        share = self._share_burst(bucket)
        offset = self._phase * max(0.0, bucket.mean_cost - share)
        bucket.share_level = min(bucket.share_level, share - offset)

    def _record_demand(self, bucket: _Bucket, cost: float) -> None:
        bucket.demand_rate += cost / _DEMAND_TIME_CONSTANT_SECONDS
        mean = bucket.mean_cost or cost
        bucket.mean_cost = mean + _COST_SMOOTHING * (cost - mean)

    def _has_reserve(self, bucket: _Bucket, cost: float) -> bool:
        """Whether enough is left even if other hosts spend the whole reserve."""
        if not self._is_in_contact():
            return False
        reserve = self._reserve(bucket)
        if self._window_wait(bucket, cost, reserve) > 0:
            return False
        return bucket.level - cost >= reserve

    def _window_wait(self, bucket: _Bucket, cost: float, unknown: float = 0.0) -> float:
        """Return the seconds until the latest window has room for a cost.

        `unknown` is what other hosts may have spent without this host's knowledge. A
        cost above the limit fits into an empty window.
        """
        if not self._tolerance.window:
            return 0.0
        room = max(0.0, bucket.window_limit - unknown - cost)
        return bucket.spent.seconds_until(room, self._now())

    def _credit_of(self, bucket: _Bucket) -> float:
        is_expired = self._now() - bucket.credit_at > _CREDIT_LIFETIME_SECONDS
        return 0.0 if is_expired else bucket.credit

    def _share_rate(self, bucket: _Bucket) -> float:
        """Return the rate of this host's share."""
        equal = bucket.size.rate / max(1, self._host_count())
        if not self._is_in_contact():
            return _ISOLATED_SHARE_FRACTION * equal
        burst = bucket.size.burst
        left = bucket.level / burst if burst else 0.0
        return equal * max(1.0, _MAX_SHARE_GROWTH * left)

    def _share_burst(self, bucket: _Bucket) -> float:
        """Return the burst of this host's share."""
        return _SHARE_BURST_FRACTION * bucket.size.burst / max(1, self._host_count())

    def _unknown_spending(self, bucket: _Bucket) -> float:
        """Return what others may have spent from their shares without a report.

        Shares that are smaller than a request may be overdrawn by all hosts at once.
        """
        by_rate = _MAX_SHARE_GROWTH * bucket.size.rate * _PROPAGATION_SECONDS
        if self._share_burst(bucket) < bucket.mean_cost:
            return max(by_rate, self._reserve(bucket))
        return by_rate

    def _reserve(self, bucket: _Bucket) -> float:
        """Return what all hosts may spend before they know of each other's spending."""
        threshold = (
            _DEMAND_THRESHOLD_REQUESTS
            * bucket.mean_cost
            / _DEMAND_TIME_CONSTANT_SECONDS
        )
        extrapolated = max(0.0, bucket.demand_rate - threshold) * max(
            1, self._host_count()
        )
        spending = max(bucket.peer_spending_rate + bucket.demand_rate, extrapolated)
        return min(bucket.size.burst, spending * _PROPAGATION_SECONDS)
