"""Echoed readings of this host's clock, which bound the age of messages.

A peer returns the last reading that it received and the time since it received
the reading. However long a message was delayed, it can't have been composed before
the sum of both, so the hosts' clocks need not be synchronized.
"""

import math
import random

from pepperstep.ports import Timers
from pepperstep.proto import membership_pb2 as pb

__all__ = ["EchoClock"]

_MILLISECONDS_PER_SECOND = 1000


class EchoClock:
    """Issues clock readings and converts their echoes to times of this host."""

    def __init__(self, timers: Timers, rng: random.Random):
        self._timers = timers
        # Identifies this process, so that readings of an earlier one are rejected.
        self._id = rng.randrange(1, 2**32)

    def read(self) -> pb.ClockReading:
        """Return the current reading."""
        time_ms = math.floor(self._timers.now() * _MILLISECONDS_PER_SECOND)
        return pb.ClockReading(clock=self._id, time_ms=time_ms)

    def sent_at(self, echo: pb.ClockReading, held_ms: int) -> float | None:
        """Return the earliest time at which a message can have been composed.

        Return None if the echoed reading isn't from this process.
        """
        if echo.clock != self._id:
            return None
        return min(
            self._timers.now(), (echo.time_ms + held_ms) / _MILLISECONDS_PER_SECOND
        )
