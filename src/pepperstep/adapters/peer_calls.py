"""Single gRPC calls to peers: no thread waits for those that aren't called.

A stream costs less for each message, but keeps two threads at both ends. A host that
calls many others now and then uses these.
"""

import queue
from collections.abc import Callable

import grpc
import trio
from absl import logging

from pepperstep.errors import Code, Failure

__all__ = ["AnswerSlot", "PeerCalls"]

# Calls in a row without any answer after which a channel has gone silent.
_SILENT_CALLS = 3
# Longest time for which a thread of the server waits for a handler, in seconds.
_HANDLER_SECONDS = 10.0


class AnswerSlot:
    """An answer that a thread of the server waits for."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[bytes] = queue.SimpleQueue()

    def put(self, answer: bytes) -> None:
        """Let the thread go on."""
        self._queue.put(answer)

    def wait(self) -> bytes | None:
        """Return the answer, None without one in time."""
        try:
            return self._queue.get(timeout=_HANDLER_SECONDS)
        except queue.Empty:
            logging.info("peers: A handler doesn't end; its caller gets no answer.")
            return None


class PeerCalls:
    """Calls over one channel; `is_silent` once several in a row had no answer."""

    def __init__(self, peer: str, method: Callable[..., grpc.Future]):
        self._peer = peer
        self._method = method
        self._unanswered = 0
        self._called_at = trio.current_time()

    @property
    def is_silent(self) -> bool:
        """Whether the latest calls all had no answer."""
        return self._unanswered >= _SILENT_CALLS

    def is_idle(self, seconds: float) -> bool:
        """Whether no call was made for so long."""
        return trio.current_time() - self._called_at > seconds

    async def call(self, data: bytes, timeout: float) -> bytes:
        """Return the peer's answer, or raise `Failure` with `PEER_UNREACHABLE`."""
        self._called_at = trio.current_time()
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        future = self._method.future(data, timeout=timeout)
        future.add_done_callback(lambda _: _run_in_loop(token, done.set))
        try:
            with trio.move_on_after(timeout):
                await done.wait()
        finally:
            future.cancel()
        return self._take(future)

    def _take(self, future: grpc.Future) -> bytes:
        try:
            answer = future.result(timeout=0)
        except (grpc.RpcError, grpc.FutureCancelledError, grpc.FutureTimeoutError):
            self._unanswered += 1
            text = f"{self._peer} doesn't answer a single call."
            raise Failure(Code.PEER_UNREACHABLE, text) from None
        self._unanswered = 0
        return answer


def _run_in_loop(token: trio.lowlevel.TrioToken, function: Callable[[], None]) -> None:
    try:
        token.run_sync_soon(function)
    except trio.RunFinishedError:
        # The caller is gone.
        return
