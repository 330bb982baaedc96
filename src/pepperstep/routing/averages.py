"""Running statistics: moving and decaying averages, windowed minima."""

__all__ = ["MovingAverage", "DecayingAverage", "WindowedMinimum"]


class MovingAverage:
    """Exponentially weighted average; a plain mean for the first few values."""

    __slots__ = ("count", "deviation", "value", "_weight")

    def __init__(self, weight: float = 0.1, initial: float = 0.0):
        self.value = initial
        # Weighted mean absolute deviation from the average.
        self.deviation = 0.0
        self.count = 0
        self._weight = weight

    def add(self, value: float) -> None:
        """Add a value."""
        self.count += 1
        weight = max(self._weight, 1 / self.count)
        difference = value - self.value
        self.value += weight * difference
        if self.count > 1:
            self.deviation += weight * (abs(difference) - self.deviation)


class DecayingAverage:
    """Exponentially weighted average that decays to zero between values."""

    __slots__ = ("_updated_at", "_half_life", "_value", "_weight")

    def __init__(self, half_life: float, weight: float = 0.2):
        self._half_life = half_life
        self._weight = weight
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, value: float, now: float) -> None:
        """Add a value at time `now`."""
        self._value = self.at(now) * (1 - self._weight) + value * self._weight
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the average decayed to time `now`."""
        if self._value == 0.0:
            return 0.0
        return self._value * 0.5 ** ((now - self._updated_at) / self._half_life)


class WindowedMinimum:
    """Minimum of the current and the previous window."""

    __slots__ = ("_current", "_previous", "_started_at", "_window")

    def __init__(self, window: float):
        self._window = window
        self._started_at = 0.0
        self._previous = float("inf")
        self._current = float("inf")

    def add(self, value: float, now: float) -> float:
        """Add a value and return the minimum."""
        if now - self._started_at > self._window:
            self._previous = self._current
            self._current = float("inf")
            self._started_at = now
        self._current = min(self._current, value)
        return min(self._previous, self._current)
