"""Fair shares of a shard's work among workspaces."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["FairShares", "fair_level"]

# Seconds between computations of the fair level, for each hundred workspaces. Averages
# hardly change in this time, and the computation sorts all workspaces.
_LEVEL_INTERVAL_SECONDS = 0.02
# Surplus that a workspace may reach: some requests, because small workspaces send
# unevenly, but at least what its share allows in some time. If its average is above its
# share, it's also at most what the share allows in a longer time. Otherwise many
# workspaces that each send rarely could overload the shard without reaching it.
_TOLERATED_REQUESTS = 5.0
_MIN_TOLERANCE = 0.25
_MAX_TOLERANCE = 1.0
# Seconds of share that requests admitted without a check add to the surplus at most,
# so that a workspace isn't refused for long after them.
_MAX_SURPLUS_SECONDS = 2.0
# Lower bound of the factor by which pressure scales shares, as it divides the level.
_MIN_SCALE = 0.01
# Part of the way from the least to the full pressure at which workspaces get just their
# shares. Pressure settles there, and its variation must leave time for the answer.
_FAIR_EXCESS = 0.6
# Least weight, as shares are divided by it.
_MIN_WEIGHT = 1e-6
# Seconds of evidence that the work rate keeps while there is no pressure.
_MIN_EVIDENCE_SECONDS = 0.5
# Least seconds for which the first rate counts.
_MIN_PRIOR_SECONDS = 0.05
# Least busy time that counts for each second. Predicted delays fall suddenly when
# learned speeds change, and a single change mustn't decide the work rate.
_MIN_BUSY = 0.25
# Averages since the start are divided by at least this fraction of their window.
_MIN_AGE = 0.05
# Idle time after which a workspace is forgotten, as a multiple of the share window. Its
# average has fallen below a hundredth by then.
_IDLE_WINDOWS = 5.0
# Fraction of the workspace's rate of service that each kind of request gets at least.
_FLOOR_SHARE = 1 / 3
# Kinds of requests per workspace for which the floor is kept.
_MAX_KINDS = 16


@dataclass(slots=True)
class _Workspace:
    """Averages of one workspace; work in upstream seconds."""

    weight: float
    last_seen: float
    # Reading of the work clock when the surplus was last reduced.
    clock: float
    # Decayed sums over the share window.
    asked: float = 0.0
    admitted: float = 0.0
    # Decayed sums of requests and of squared costs.
    requests: float = 0.0
    squares: float = 0.0
    # Work admitted beyond the share.
    surplus: float = 0.0
    # Work owed to each priority for the floor.
    floors: dict[int, float] = field(default_factory=dict)

    def decay(self, factor: float) -> None:
        """Multiply the decayed sums by `factor`."""
        self.asked *= factor
        self.admitted *= factor
        self.requests *= factor
        self.squares *= factor


class _WorkMeter:
    """Measures the work that a shard does per second while all of it is busy.

    In a busy shard, the predicted delay grows by the work admitted beyond what is done.
    The work done in `dt` seconds, in which the delay grew by `growth`, is therefore
    `admitted * dt / (dt + growth)`.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._work = 0.0
        self._busy = 0.0
        self._elapsed = 0.0

    @property
    def rate(self) -> float | None:
        """Upstream seconds per second, None before the first measurement."""
        if not self._elapsed:
            return None
        return self._work / max(self._busy, _MIN_BUSY * self._elapsed)

    def start(self, rate: float, seconds: float) -> None:
        """Start with a rate that was observed for some seconds."""
        seconds = min(max(seconds, _MIN_PRIOR_SECONDS), _MIN_EVIDENCE_SECONDS)
        self._work = rate * seconds
        self._busy = self._elapsed = seconds

    def add(self, work: float, dt: float, growth: float) -> None:
        """Add `dt` seconds in which `work` was admitted and the delay grew."""
        self._work += work
        self._busy += dt + growth
        self._elapsed += dt

    def decay(self, dt: float) -> None:
        """Reduce the weight of older measurements after `dt` seconds."""
        if self._elapsed <= _MIN_EVIDENCE_SECONDS:
            return
        factor = max(
            math.exp(-dt / self._window), _MIN_EVIDENCE_SECONDS / self._elapsed
        )
        self._work *= factor
        self._busy *= factor
        self._elapsed *= factor


class FairShares:
    """Requested and admitted work of workspaces, and their surplus over fair shares.

    A clock of work advances by the fair level, scaled by the pressure, and reduces the
    surplus of every workspace by its weight. A workspace whose surplus is beyond its
    tolerance is above its share.
    """

    def __init__(self, settings: SchedulingSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._workspaces: dict[str, _Workspace] = {}
        self._meter = _WorkMeter(settings.share_window)
        self._started: float | None = None
        self._now = 0.0
        self._delay = 0.0
        self._pending = 0.0
        self._level: float | None = None
        self._level_time = 0.0
        self._scale = _MIN_SCALE
        self._clock = 0.0
        self._admitted = 0.0
        self._pressed_at = -math.inf

    def __len__(self) -> int:
        return len(self._workspaces)

    @property
    def level(self) -> float | None:
        """Fair work per second and weight, None before the first pressure."""
        return self._level

    @property
    def work_rate(self) -> float:
        """Upstream seconds per second that the shard does, as far as it's known.

        This is the measured rate during and shortly after pressure, and the average of
        the admitted work otherwise.
        """
        rate = self._meter.rate
        if rate is not None and self._now - self._pressed_at < self._window:
            return rate
        return self._admitted / self._norm

    @property
    def _window(self) -> float:
        return self._settings.share_window

    @property
    def _norm(self) -> float:
        """Seconds by which decayed sums are divided to get averages."""
        if self._started is None:
            return self._window
        age = 1 - math.exp((self._started - self._now) / self._window)
        return self._window * max(age, _MIN_AGE)

    def advance(self, delay: float, pressure: float, now: float) -> None:
        """Take in the predicted delay in seconds and the pressure at `now`."""
        if self._started is None:
            self._started = self._now = self._level_time = now
        dt = max(now - self._now, 0.0)
        self._now = max(now, self._now)
        self._measure(delay, pressure, dt)
        if self._level is not None:
            self._clock += self._level / self._scale * dt
        self._scale = self._scale_at(pressure)
        interval = _LEVEL_INTERVAL_SECONDS * max(len(self._workspaces) / 100, 1)
        if now - self._level_time >= interval:
            self._refresh()

    def ask(self, name: str, weight: float, cost: float) -> None:
        """Record a request of `cost` upstream seconds."""
        weight = max(weight, _MIN_WEIGHT)
        workspace = self._workspaces.get(name)
        if workspace is None:
            workspace = _Workspace(weight, self._now, self._clock)
            self._workspaces[name] = workspace
        workspace.weight = weight
        workspace.last_seen = self._now
        workspace.asked += cost
        workspace.requests += 1
        workspace.squares += cost * cost

    def admit(self, name: str, cost: float) -> None:
        """Record the last asked request of the workspace as admitted."""
        workspace = self._workspaces[name]
        workspace.admitted += cost
        self._admitted += cost
        self._pending += cost
        if self._level is None:
            return
        bound = max(_MAX_SURPLUS_SECONDS * self._level * workspace.weight, cost)
        workspace.surplus = min(workspace.surplus + cost, bound)

    def surplus(self, name: str, part: float) -> float:
        """Return the surplus after another request, in multiples of the tolerance.

        The request counts with a part of the workspace's mean cost. With a random part,
        workspaces that send rarely are refused at random. The size of the request makes
        no difference.
        """
        workspace = self._workspaces.get(name)
        if workspace is None or self._level is None:
            return 0.0
        self._reduce_surplus(workspace)
        mean = workspace.asked / max(workspace.requests, 1e-12)
        surplus = workspace.surplus + part * mean
        return surplus / max(self._tolerance(workspace), 1e-12)

    def is_above(self, name: str) -> bool:
        """Return whether the workspace asks for more than its fair share."""
        workspace = self._workspaces.get(name)
        if workspace is None or self._level is None:
            return False
        return self._is_above(workspace)

    def take_floor(self, name: str, priority: int, cost: float) -> bool:
        """Return whether a refused request is admitted so that its kind isn't starved.

        Each kind gets at least `_FLOOR_SHARE` of the workspace's rate of service. The
        decision doesn't depend on the cost, only the following ones do.
        """
        workspace = self._workspaces[name]
        floors = workspace.floors
        if priority not in floors:
            if len(floors) >= _MAX_KINDS:
                return False
            floors[priority] = -self._rng.random() * cost
        is_due = floors[priority] >= 0
        rate = (
            min(workspace.admitted / workspace.asked, 1.0) if workspace.asked else 0.0
        )
        floors[priority] += _FLOOR_SHARE * rate * cost - is_due * cost
        return is_due

    def _measure(self, delay: float, pressure: float, dt: float) -> None:
        """Measure the work rate over the last `dt` seconds if the shard was busy."""
        is_pressed = pressure >= self._settings.min_pressure
        was_busy = dt <= self._delay < math.inf and delay < math.inf
        if is_pressed:
            self._pressed_at = self._now
            if self._meter.rate is None:
                age = self._now - self._started
                self._meter.start(self._admitted / self._norm, age)
            if was_busy:
                self._meter.add(self._pending, dt, delay - self._delay)
        self._pending = 0.0
        self._delay = delay

    def _scale_at(self, pressure: float) -> float:
        """Return the divisor of all shares, which grows with the pressure."""
        low, full = self._settings.min_pressure, self._settings.full_pressure
        excess = (pressure - low) / (full - low) / _FAIR_EXCESS
        return max(max(excess, 0.0) ** 2, _MIN_SCALE)

    def _refresh(self) -> None:
        """Decay the averages, forget idle workspaces and compute the fair level."""
        dt = self._now - self._level_time
        self._level_time = self._now
        factor = math.exp(-dt / self._window)
        self._admitted *= factor
        self._meter.decay(dt)
        oldest = self._now - _IDLE_WINDOWS * self._window
        idle = [n for n, w in self._workspaces.items() if w.last_seen < oldest]
        for name in idle:
            del self._workspaces[name]
        for workspace in self._workspaces.values():
            workspace.decay(factor)
        if (rate := self._meter.rate) is not None:
            norm = self._norm
            demands = [(w.asked / norm, w.weight) for w in self._workspaces.values()]
            self._level = fair_level(demands, rate)

    def _reduce_surplus(self, workspace: _Workspace) -> None:
        done = (self._clock - workspace.clock) * workspace.weight
        workspace.surplus = max(workspace.surplus - done, 0.0)
        workspace.clock = self._clock

    def _is_above(self, workspace: _Workspace) -> bool:
        return workspace.asked / self._norm > self._level * workspace.weight

    def _tolerance(self, workspace: _Workspace) -> float:
        """Return the surplus in upstream seconds that a workspace may have."""
        share = self._level / self._scale * workspace.weight
        size = workspace.squares / workspace.asked if workspace.asked else 0.0
        low, high = _MIN_TOLERANCE * share, _MAX_TOLERANCE * share
        tolerance = max(_TOLERATED_REQUESTS * size, low)
        return min(tolerance, high) if self._is_above(workspace) else tolerance


def fair_level(demands: Sequence[tuple[float, float]], capacity: float) -> float:
    """Return the level L for which `sum(min(asked, L * weight))` is `capacity`.

    `demands` holds the asked work and the weight of each workspace. If all demands fit,
    it's the level to which the largest demand for its weight could grow alone.
    """
    if not demands:
        return capacity
    left = capacity
    weights = sum(weight for _, weight in demands)
    ordered = sorted((asked / weight, asked, weight) for asked, weight in demands)
    for level, asked, weight in ordered:
        if level * weights >= left:
            return max(left, 0.0) / weights
        left -= asked
        weights -= weight
    return level + left / weight
