"""Cached model sizes and download rate of the weight store."""

from collections.abc import Iterable

from absl import logging

from pepperstep.entities import ModelKey
from pepperstep.ports import Timers
from pepperstep.ports.weights import WeightStore

__all__ = ["Weights"]

_CALL_TIMEOUT_SECONDS = 5.0


class Weights:
    """Cache of the weight store's data; without a store, loads aren't limited."""

    def __init__(self, store: WeightStore | None, timers: Timers):
        self.rate = 0.0
        # Models that the store lacks.
        self.missing: set[ModelKey] = set()
        self._store = store
        self._timers = timers
        self._sizes: dict[ModelKey, int] = {}

    def size_bytes(self, key: ModelKey) -> int:
        """Return the size of a model's weights, 0 if unknown."""
        return self._sizes.get(key, 0)

    def load_seconds(self, key: ModelKey) -> float:
        """Return the seconds for one load at the store's full rate, 0 if unknown."""
        return self.size_bytes(key) / self.rate if self.rate else 0.0

    def is_loadable(self, key: ModelKey) -> bool:
        """Whether an engine may be ordered to load the model."""
        return self._store is None or key in self._sizes

    async def refresh(self, keys: Iterable[ModelKey]) -> None:
        """Read the rate and any unknown sizes from the store."""
        if self._store is None:
            return
        try:
            with self._timers.move_on_after(_CALL_TIMEOUT_SECONDS):
                self.rate = await self._store.rate()
                for key in sorted(set(keys) - self._sizes.keys(), key=str):
                    await self._read_size(key)
        except OSError as error:
            logging.warning("fleet: Weight store unreachable: %s", error)

    async def _read_size(self, key: ModelKey) -> None:
        try:
            size = await self._store.size_bytes(key.model, key.version)
        except KeyError:
            if key not in self.missing:
                logging.error(
                    "fleet: The weight store lacks %s version %s.",
                    key.model,
                    key.version,
                )
            self.missing.add(key)
            return
        self._sizes[key] = size
        self.missing.discard(key)
