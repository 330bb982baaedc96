"""Signals of a daemon: when to stop, and which ones change nothing."""

import signal

import trio
from absl import logging

from pepperstep.observability.decisions import SignalReceived

__all__ = ["StopSignals"]

_STOPS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Receives signals from before the first listener opens until the process ends.

    SIGTERM or SIGINT asks for a stop. Once asked for, the stop takes its course: the
    signals' default actions would cut requests in progress. SIGHUP changes nothing, as
    settings are read at the start only.
    """

    def __init__(self):
        self._requested = trio.Event()

    async def wait(self) -> None:
        """Return once a stop was asked for."""
        await self._requested.wait()

    async def watch(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Receive signals until cancelled."""
        with trio.open_signal_receiver(*_STOPS, signal.SIGHUP) as signals:
            task_status.started()
            async for number in signals:
                event = SignalReceived(
                    signal=signal.Signals(number).name,
                    is_stopping=self._requested.is_set(),
                )
                logging.info("daemon: %s", event)
                if number in _STOPS:
                    self._requested.set()
