"""Quotas of workspaces over all hosts.

Each host knows what it has admitted, and learns a fraction of a second later
what the others have. While more is left than all hosts can spend in that time,
any host may admit. Below that, one host grants for all what is left
(`quota_claims`). Where that one doesn't answer, each keeps to its part of the rate,
so that no number of hosts that decide at the same time goes far over.

A host's part is equal to the others' while little is left, and grows with what is
left: callers come unevenly, and some hosts that share are gone. A host that has
lost contact keeps to a fraction of it, as the others spend what it doesn't.
"""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from pepperstep.entities.routes import Quota, RouteTable, Workspace

__all__ = ["Admission", "Claim", "QuotaState", "QuotaTolerance", "Quotas"]

# Asks the host that grants a workspace's quota for a cost; None without an answer.
Claim = Callable[[str, float], Awaitable["Admission | None"]]

# Time until a host's spending is known to all others, in seconds: a question, and
# the next answer that another host gets, each up to 0.2 s late.
_LAG_SECONDS = 0.4
# Time over which a workspace's demand is averaged, in seconds.
_DEMAND_SECONDS = 1.0
# Weight of each request in the mean cost.
_COST_WEIGHT = 0.1
# Part of one request that a host's demand must exceed before it's taken for the
# demand at all hosts: a single one of many hosts' requests tells nothing.
_CHANCE_PART = 0.5
# Part of the burst that all hosts may spend at once of their own parts.
_OWN_PART = 0.5
# What a host's part of the rate grows to while the whole burst is left; with half of
# it, the part is equal. So the parts of hosts that are gone are given out, and two
# hosts without contact still keep to the tolerance.
_MOST_GROWTH = 2.0
# Part of its rate that a host without contact keeps to: the others soon spend it.
_ALONE_PART = 0.25
# Part of that which a host may spend when it starts. Hosts that all start at once
# give out a quarter of a burst more.
_START_PART = 0.5
# Time in which no host admits anything when all start anew, in seconds, at least: from
# the end of their earlier lives to the first answer of a control host.
_RESTART_SECONDS = 1.0
# Part of the burst below which a workspace's counts have to be new on all hosts.
_PRESSED_PART = 0.9
# Part of the tolerated excess that is given out. Hosts that each keep to their
# equal part refuse one caller while another host has room; the excess makes up
# for it, and the rest of it covers counts that are late.
_USED_TOLERANCE = 0.4
# Time for which what was given back can be spent anew, in seconds: it counts to the
# window in which it was spent first.
_CREDIT_SECONDS = 1.0
# Part of the burst that isn't granted: hosts that can't ask spend their own parts.
_KEPT_PART = 0.4
# Time in which hosts have told what they were granted, in seconds: a question each of
# theirs, of a control host and of this host, with one that is lost.
_GRANT_SECONDS = 3.0
# Most seconds that a caller over its quota is told to wait.
_MAX_WAIT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """What a workspace may get beyond its quota; from the deployment's settings."""

    # As a share of what the quota allows in a window.
    overage: float = 0.0
    # Besides, in the quota's unit.
    allowance: float = 0.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may run, by what it costs."""

    # Seconds until the cost is there, 0 if it was spent.
    wait: float = 0.0
    # The host that was asked, "" for this one's own decision, and what it had left.
    asked: str = ""
    left: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaState:
    """What a decision on a workspace's quota rests on, in the quota's unit."""

    # Left for all hosts together, and of this host's own part.
    level: float
    own_level: float
    # Kept for what hosts spend before they know of each other's spending.
    reserve: float
    # Hosts that share the quota.
    hosts: int


@dataclass(slots=True)
class _Bucket:
    """What a workspace may still spend: over all hosts, and on this one."""

    quota: Quota
    level: float
    own_level: float
    filled_at: float
    # Cost asked for a second, as a mean that forgets exponentially.
    demand: float = 0.0
    # Mean cost of its requests, as they were asked for here.
    usual_cost: float = 0.0
    # Latest total of what the others have admitted, and their spending a second, as
    # a mean that forgets exponentially.
    elsewhere: int | None = None
    others_rate: float = 0.0
    # All that this host has admitted.
    admitted: int = 0
    # Of this, what requests that haven't run have given back, and when.
    credit: float = 0.0
    credit_at: float = 0.0
    # Granted to other hosts and taken off, but not yet told by them, with the times.
    grants: deque[tuple[float, float]] = field(default_factory=deque)


class Quotas:
    """Quotas as one host keeps them."""

    def __init__(
        self,
        host_count: Callable[[], int],
        now: Callable[[], float],
        tolerance: QuotaTolerance | None = None,
        is_in_contact: Callable[[], bool] = lambda: True,
        phase: float = 0.0,
    ):
        """Keep quotas; `phase`, from 0 to 1, differs between hosts."""
        self._host_count = host_count
        self._is_in_contact = is_in_contact
        self._phase = phase
        self._now = now
        self._tolerance = tolerance or QuotaTolerance()
        self._buckets: dict[str, _Bucket] = {}

    def watch(self, table: RouteTable) -> None:
        """Begin to fill the buckets of a table's workspaces.

        A host that starts would refuse the first requests otherwise, as it
        must not take the bursts for unspent.
        """
        for workspace in table.workspaces:
            if workspace.quota is not None and workspace.quota.rate > 0:
                self._bucket(workspace.name, self._widen(workspace.quota))

    def refill_after_restart(self) -> None:
        """Take in that all hosts have started anew, and none has spent meanwhile."""
        for bucket in self._buckets.values():
            quota = bucket.quota
            self._fill(bucket)
            back = _RESTART_SECONDS * quota.rate
            bucket.level = min(quota.burst, bucket.level + back)
            bucket.own_level = self._own_burst(quota)

    @property
    def has_active_workspace(self) -> bool:
        """Whether any workspace has spent a good part of its burst."""
        for bucket in self._buckets.values():
            self._fill(bucket)
            if bucket.level < _PRESSED_PART * bucket.quota.burst:
                return True
        return False

    async def admit(
        self, workspace: Workspace, cost: float, claim: Claim | None = None
    ) -> Admission:
        """Spend `cost`, or return the seconds until it's there."""
        if workspace.quota is None or workspace.quota.rate <= 0:
            return Admission()
        bucket = self._bucket(workspace.name, self._widen(workspace.quota))
        self._note_demand(bucket, cost)
        if self._credit_of(bucket) >= cost:
            bucket.credit -= cost
            return Admission()
        if self._has_reserve(bucket, cost):
            self._spread_parts(bucket)
            self._spend(bucket, cost)
            return Admission()
        admission = None if claim is None else await claim(workspace.name, cost)
        if admission is None:
            return Admission(self._spend_own_part(bucket, cost))
        if not admission.wait:
            self._spend(bucket, cost)
        return admission

    def grant(self, workspace: str, cost: float, is_own: bool) -> Admission | None:
        """Take `cost` off what all hosts may spend, if it's there.

        Return None where this host can't tell. The cost of other hosts' requests is
        told by them later, and not taken again.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None or not self._is_in_contact():
            return None
        self._fill(bucket)
        burst = bucket.quota.burst
        kept = _KEPT_PART * burst
        missing = min(cost + kept, burst) - bucket.level
        if missing > 0:
            wait = min(missing / bucket.quota.rate, _MAX_WAIT_SECONDS)
            return Admission(wait, left=bucket.level)
        if not is_own:
            bucket.level -= cost
            bucket.grants.append((self._now(), cost))
        return Admission(left=bucket.level)

    def give_back(self, workspace: Workspace, cost: float) -> None:
        """Let the cost of an admitted request that hasn't run be spent by others.

        Hosts tell each other totals that only grow, so it isn't taken off these.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
            bucket.credit = self._credit_of(bucket) + cost
            bucket.credit_at = self._now()

    def state_of(self, workspace: str) -> QuotaState:
        """Return what the latest decision on a known workspace has rested on."""
        bucket = self._buckets[workspace]
        reserve = self._reserve(bucket)
        hosts = self._host_count()
        return QuotaState(bucket.level, bucket.own_level, reserve, hosts)

    def admitted(self) -> dict[str, int]:
        """Return all that this host has admitted, by workspace."""
        return {name: each.admitted for name, each in self._buckets.items()}

    def record_spent_elsewhere(self, workspace: str, total: int) -> None:
        """Take in what all other hosts have admitted since any earlier time."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return
        if bucket.elsewhere is not None and total > bucket.elsewhere:
            self._fill(bucket)
            spent = total - bucket.elsewhere
            untaken = spent - self._settle_grants(bucket, spent)
            bucket.level = max(-bucket.quota.burst, bucket.level - untaken)
            bucket.others_rate += spent / _DEMAND_SECONDS
        bucket.elsewhere = max(total, bucket.elsewhere or 0)

    def _widen(self, quota: Quota) -> Quota:
        """Return the quota with the part of the tolerance that is given out."""
        share = 1 + _USED_TOLERANCE * self._tolerance.overage
        allowance = _USED_TOLERANCE * self._tolerance.allowance
        if not quota.counts_tokens:
            allowance = 0.0
        return replace(
            quota, rate=quota.rate * share, burst=quota.burst * share + allowance
        )

    def _bucket(self, workspace: str, quota: Quota) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # A host that starts doesn't know what the others have spent, and what
            # its own life before has.
            level = _START_PART * self._own_burst(quota)
            bucket = _Bucket(quota, level, level, self._now())
            self._buckets[workspace] = bucket
            return bucket
        self._fill(bucket)
        if bucket.quota != quota:
            bucket.quota = quota
            bucket.level = min(bucket.level, quota.burst)
            bucket.own_level = min(bucket.own_level, self._own_burst(quota))
        return bucket

    def _fill(self, bucket: _Bucket) -> None:
        now = self._now()
        passed = now - bucket.filled_at
        bucket.filled_at = now
        quota = bucket.quota
        kept = math.exp(-passed / _DEMAND_SECONDS)
        bucket.demand *= kept
        bucket.others_rate *= kept
        bucket.level = min(quota.burst, bucket.level + passed * quota.rate)
        own = bucket.own_level + passed * self._own_rate(bucket)
        bucket.own_level = min(self._own_burst(quota), own)

    def _spend(self, bucket: _Bucket, cost: float) -> None:
        bucket.level -= cost
        bucket.admitted += round(cost)

    def _spend_own_part(self, bucket: _Bucket, cost: float) -> float:
        """Spend this host's part and return 0, or the seconds until it's there."""
        least = min(cost, self._own_burst(bucket.quota))
        if bucket.own_level < least:
            wait = (least - bucket.own_level) / self._own_rate(bucket)
            return min(wait, _MAX_WAIT_SECONDS)
        bucket.own_level -= cost
        self._spend(bucket, cost)
        return 0.0

    def _settle_grants(self, bucket: _Bucket, spent: float) -> float:
        """Return how much of what others have spent was granted and taken off here."""
        oldest = self._now() - _GRANT_SECONDS
        while bucket.grants and bucket.grants[0][0] < oldest:
            bucket.grants.popleft()
        settled = 0.0
        while bucket.grants and settled < spent:
            granted_at, cost = bucket.grants.popleft()
            part = min(cost, spent - settled)
            settled += part
            if part < cost:
                bucket.grants.appendleft((granted_at, cost - part))
        return settled

    def _spread_parts(self, bucket: _Bucket) -> None:
        """Let hosts whose parts are smaller than a request begin at other times.

        A host may spend more at once than its part and waits afterwards. When a
        workspace's demand jumps, all of many hosts would do so at once.
        """
        part = self._own_burst(bucket.quota)
        behind = self._phase * max(0.0, bucket.usual_cost - part)
        bucket.own_level = min(bucket.own_level, part - behind)

    def _note_demand(self, bucket: _Bucket, cost: float) -> None:
        bucket.demand += cost / _DEMAND_SECONDS
        usual = bucket.usual_cost or cost
        bucket.usual_cost = usual + _COST_WEIGHT * (cost - usual)

    def _has_reserve(self, bucket: _Bucket, cost: float) -> bool:
        """Whether enough is left whatever the others spend unheard of."""
        if not self._is_in_contact():
            return False
        return bucket.level - cost >= self._reserve(bucket)

    def _credit_of(self, bucket: _Bucket) -> float:
        is_old = self._now() - bucket.credit_at > _CREDIT_SECONDS
        return 0.0 if is_old else bucket.credit

    def _own_rate(self, bucket: _Bucket) -> float:
        """Return what this host may spend a second of its own part."""
        equal = bucket.quota.rate / max(1, self._host_count())
        if not self._is_in_contact():
            return _ALONE_PART * equal
        left = bucket.level / bucket.quota.burst
        return equal * max(1.0, _MOST_GROWTH * left)

    def _own_burst(self, quota: Quota) -> float:
        """Return what this host may spend at once of its own part."""
        return _OWN_PART * quota.burst / max(1, self._host_count())

    def _reserve(self, bucket: _Bucket) -> float:
        """Return what all hosts may spend before they know of each other's."""
        chance = _CHANCE_PART * bucket.usual_cost / _DEMAND_SECONDS
        alike = max(0.0, bucket.demand - chance) * max(1, self._host_count())
        spending = max(bucket.others_rate + bucket.demand, alike)
        return min(bucket.quota.burst, spending * _LAG_SECONDS)
