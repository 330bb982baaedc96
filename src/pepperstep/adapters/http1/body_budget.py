"""Limit on the request bodies that a server holds at a time."""

__all__ = ["BodyBudget"]


class BodyBudget:
    """Bytes that all connections of a server may hold together."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._taken = 0

    def take(self, size: int) -> bool:
        """Take some bytes, or return False if too few are left."""
        if self._taken + size > self._max_bytes:
            return False
        self._taken += size
        return True

    def give_back(self, size: int) -> None:
        """Return bytes that were taken."""
        self._taken -= size
