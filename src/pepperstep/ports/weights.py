"""Weight store of the models, which has a limited transfer rate."""

from typing import Protocol

__all__ = ["WeightStore"]


class WeightStore(Protocol):
    """Client of the weight store; raises OSError if the store is unreachable."""

    async def size_bytes(self, model: str, version: str) -> int:
        """Return the size of a model's weights; raise KeyError for an unknown model."""

    async def rate(self) -> float:
        """Return the transfer limit of all engines together, in bytes per second."""
