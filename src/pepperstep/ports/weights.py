"""The weight store, whose rate is limited."""

from typing import Protocol

__all__ = ["WeightStore"]


class WeightStore(Protocol):
    """Client of the weight store; raises OSError where it can't be reached."""

    async def size_bytes(self, model: str, version: str) -> int:
        """Return the size of a model's weights; KeyError if it has none."""

    async def rate(self) -> float:
        """Return the bytes a second that all engines together may fetch."""
