"""Counts of started requests by accounting window and workspace."""

from collections.abc import Callable

__all__ = ["RunCounts"]

# Recent windows that are kept and reported repeatedly, so that a control host that has
# missed some reports still gets their counts.
_MAX_WINDOWS = 6


class RunCounts:
    """Counts of one host; `wall` returns the Unix time, `window` is in seconds."""

    def __init__(self, window: float, wall: Callable[[], float]):
        self._window_seconds = window
        self._wall_time = wall
        self._windows: dict[int, dict[str, int]] = {}

    def record_run(self, workspace: str) -> None:
        """Count a request of a workspace in the current window."""
        number = int(self._wall_time() // self._window_seconds)
        counts = self._windows.setdefault(number, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        while len(self._windows) > _MAX_WINDOWS:
            del self._windows[min(self._windows)]

    def windows(self) -> dict[int, dict[str, int]]:
        """Return the counts of the kept windows by window number and workspace."""
        return {number: dict(counts) for number, counts in self._windows.items()}
