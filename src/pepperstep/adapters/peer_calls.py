"""Unary gRPC calls to peers.

A stream costs less per message, but occupies two threads at each end. Unary calls
occupy none while idle, so they suit a host that calls many peers rarely.
"""

import queue
from collections.abc import Callable

import grpc
import trio
from absl import logging

from pepperstep.errors import Code, Failure

__all__ = ["AnswerSlot", "PeerCalls"]

# Consecutive calls without an answer after which a channel counts as silent.
_SILENT_CALLS = 3
# Longest time that a server thread waits for a handler.
_HANDLER_SECONDS = 10.0


class AnswerSlot:
    """Passes one answer from the trio loop to a waiting server thread."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()

    def put(self, answer: bytes | None) -> None:
        """Set the answer, None if there is none, and wake the waiting thread."""
        self._queue.put(answer)

    def wait(self) -> bytes | None:
        """Block until the answer is set; return None after `_HANDLER_SECONDS`."""
        try:
            return self._queue.get(timeout=_HANDLER_SECONDS)
        except queue.Empty:
            logging.info("peers: A handler timed out; the caller gets no answer.")
            return None


class PeerCalls:
    """Unary calls over one channel to a peer."""

    def __init__(self, peer: str, method: Callable[..., grpc.Future]):
        self._peer = peer
        self._method = method
        self._unanswered_calls = 0
        self._last_call_at = trio.current_time()

    @property
    def is_silent(self) -> bool:
        """Whether the last `_SILENT_CALLS` calls all got no answer."""
        return self._unanswered_calls >= _SILENT_CALLS

    def is_idle(self, seconds: float) -> bool:
        """Whether the last call was made more than `seconds` ago."""
        return trio.current_time() - self._last_call_at > seconds

    async def call(self, data: bytes, timeout: float) -> bytes:
        """Send `data` and return the answer.

        Raise `Failure` with `PEER_UNREACHABLE` if there is none in `timeout` seconds.
        """
        self._last_call_at = trio.current_time()
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        future = self._method.future(data, timeout=timeout)
        future.add_done_callback(lambda _: _run_in_loop(token, done.set))
        try:
            with trio.move_on_after(timeout):
                await done.wait()
        finally:
            future.cancel()
        return self._result_of(future)

    def _result_of(self, future: grpc.Future) -> bytes:
        try:
            answer = future.result(timeout=0)
        except (grpc.RpcError, grpc.FutureCancelledError, grpc.FutureTimeoutError):
            self._unanswered_calls += 1
            text = f"{self._peer} doesn't answer a single call."
            raise Failure(Code.PEER_UNREACHABLE, text) from None
        self._unanswered_calls = 0
        return answer


def _run_in_loop(token: trio.lowlevel.TrioToken, function: Callable[[], None]) -> None:
    try:
        token.run_sync_soon(function)
    except trio.RunFinishedError:
        # The trio loop has ended, and the caller with it.
        return
