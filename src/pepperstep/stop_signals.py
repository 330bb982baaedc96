"""Signals of a daemon: when to stop, and which ones change nothing."""

import signal
from collections.abc import Callable

import trio
from absl import logging

from pepperstep.observability.decisions import SignalReceived

__all__ = ["StopSignals"]

_STOPS = (signal.SIGTERM, signal.SIGINT)
_SIGNALS = (*_STOPS, signal.SIGHUP)


class StopSignals:
    """Receives signals from before the first listener opens until the process ends.

    SIGTERM or SIGINT asks for a stop. Once asked for, the stop takes its course: the
    signals' default actions would cut requests in progress. SIGHUP changes nothing, as
    settings are read at the start only. `now` returns the monotonic time.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._requested = trio.Event()
        self._requested_at = 0.0

    async def wait(self) -> float:
        """Return the time at which a stop was asked for, once it was.

        It is the time of the signal, which a busy host's tasks see later.
        """
        await self._requested.wait()
        return self._requested_at

    async def watch(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Receive signals until cancelled; they are ignored afterwards."""
        token = trio.lowlevel.current_trio_token()

        def handle(number: int, _) -> None:
            token.run_sync_soon(self._receive, number, self._now())

        for each in _SIGNALS:
            signal.signal(each, handle)
        try:
            task_status.started()
            await trio.sleep_forever()
        finally:
            for each in _SIGNALS:
                signal.signal(each, signal.SIG_IGN)

    def _receive(self, number: int, received_at: float) -> None:
        event = SignalReceived(
            signal=signal.Signals(number).name,
            is_stopping=self._requested.is_set(),
        )
        logging.info("daemon: %s", event)
        if number in _STOPS and not self._requested.is_set():
            self._requested_at = received_at
            self._requested.set()
