"""Readings of this host's clock, by which it bounds the age of messages.

A peer sends back the last reading that it got, and how long it has held it. A
message can't have been made before that, whatever its delay, so that clocks
need not agree.
"""

import math
import random

from pepperstep.ports import Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["EchoClock"]

_MILLI = 1000


class EchoClock:
    """Gives readings out and takes echoes of them back."""

    def __init__(self, timers: Timers, rng: random.Random):
        self._timers = timers
        # Readings of an earlier life don't count.
        self._id = rng.randrange(1, 2**32)

    def read(self) -> pb.ClockReading:
        """Return the present reading."""
        time_ms = math.floor(self._timers.now() * _MILLI)
        return pb.ClockReading(clock=self._id, time_ms=time_ms)

    def sent_at(self, echo: pb.ClockReading, held_ms: int) -> float | None:
        """Return the earliest time at which a message was made, None if unknown."""
        if echo.clock != self._id:
            return None
        return min(self._timers.now(), (echo.time_ms + held_ms) / _MILLI)
