"""Concurrent calls to one peer, multiplexed over one gRPC stream.

A message on a stream costs a fraction of a unary call, and frames that are
queued at the same time are sent as one batch. Dedicated threads block on gRPC,
so the trio loop never does.
"""

import itertools
import queue
import threading
from collections.abc import Callable, Iterable, Iterator

import grpc
import trio
from google.protobuf.message import DecodeError

from pepperstep.errors import Code, Failure
from pepperstep.proto.envelope_pb2 import Frame, Frames

__all__ = ["FrameQueue", "PeerStream"]

_MAX_BATCH_BYTES = 1024 * 1024
# A stream whose calls time out counts as silent after this time without any answer.
# Twice the timeout of the most frequent calls.
_SILENCE_SECONDS = 1.0


class FrameQueue:
    """Thread-safe queue of frames to send, consumed by a gRPC thread."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[Frame | None] = queue.SimpleQueue()

    def put(self, frame: Frame) -> None:
        """Queue a frame."""
        self._queue.put(frame)

    def close(self) -> None:
        """End `batches` once the queued frames are sent."""
        self._queue.put(None)

    def batches(self) -> Iterator[bytes]:
        """Yield the queued frames as encoded `Frames`; block while there are none."""
        while True:
            frame = self._queue.get()
            frames = []
            size = 0
            while frame is not None:
                frames.append(frame)
                size += len(frame.envelope)
                if size > _MAX_BATCH_BYTES or self._queue.empty():
                    break
                frame = self._queue.get()
            if frames:
                yield Frames(frames=frames).SerializeToString()
            if frame is None:
                return


class _PendingCall:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: bytes | None = None
        self.error = ""


class PeerStream:
    """One stream to a peer; a broken stream fails its calls and is never reopened."""

    def __init__(self, peer: str, method: grpc.StreamStreamMultiCallable):
        self._peer = peer
        self._token = trio.lowlevel.current_trio_token()
        self._call_numbers = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._frames = FrameQueue()
        self.is_broken = False
        # Time of the last answer, or of the first call after an idle period.
        self._answered_at = trio.current_time()
        self._last_call_at = self._answered_at
        self._grpc_call = method(self._frames.batches())
        threading.Thread(
            target=self._read_answers, name=f"to-{peer}", daemon=True
        ).start()

    @property
    def is_silent(self) -> bool:
        """Whether the stream isn't broken but its calls get no answers."""
        if self.is_broken:
            return False
        return trio.current_time() - self._answered_at > _SILENCE_SECONDS

    def is_idle(self, seconds: float) -> bool:
        """Whether no call is pending and the last was made over `seconds` ago."""
        has_pending = bool(self._pending)
        return not has_pending and trio.current_time() - self._last_call_at > seconds

    async def call(self, data: bytes, timeout: float) -> bytes:
        """Send `data` and return the answer.

        Raise `Failure` with `PEER_UNREACHABLE` after `timeout` seconds, or when
        the stream breaks.
        """
        number = next(self._call_numbers)
        pending = _PendingCall()
        self._last_call_at = trio.current_time()
        if not self._pending:
            self._answered_at = trio.current_time()
        self._pending[number] = pending
        self._frames.put(Frame(call=number, envelope=data))
        try:
            with trio.move_on_after(timeout):
                await pending.done.wait()
        finally:
            self._pending.pop(number, None)
        if pending.answer is None:
            reason = pending.error or "no answer in time"
            raise Failure(
                Code.PEER_UNREACHABLE, f"{self._peer} doesn't answer: {reason}."
            )
        return pending.answer

    def close(self) -> None:
        """Cancel the stream; its pending calls fail."""
        self._frames.close()
        self._grpc_call.cancel()
        self._mark_broken("the connection was closed")

    def _read_answers(self) -> None:
        reason = "the stream ended"
        try:
            for data in self._grpc_call:
                self._run_in_loop(self._receive_answers, Frames.FromString(data).frames)
        except grpc.RpcError as error:
            reason = error.code().name
        except DecodeError:
            reason = "its answers can't be decoded"
            self._grpc_call.cancel()
        self._frames.close()
        self._run_in_loop(self._mark_broken, reason)

    def _run_in_loop(self, function: Callable, argument: object) -> None:
        try:
            self._token.run_sync_soon(function, argument)
        except trio.RunFinishedError:
            return

    def _receive_answers(self, frames: Iterable[Frame]) -> None:
        self._answered_at = trio.current_time()
        for frame in frames:
            pending = self._pending.get(frame.call)
            if pending is not None:
                pending.answer = frame.envelope
                pending.done.set()

    def _mark_broken(self, reason: str) -> None:
        self.is_broken = True
        for pending in self._pending.values():
            pending.error = reason
            pending.done.set()
