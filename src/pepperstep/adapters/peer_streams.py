"""Calls to one peer over one gRPC stream, with many calls under way at a time.

A stream costs a fraction of a unary call for each message, and what is due at
the same time goes out together. Threads of their own wait on gRPC; the trio
loop never does.
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
# A stream on which calls run out of time for so long without any answer has
# gone silent, in seconds: twice the timeout of the most frequent calls.
_SILENCE_SECONDS = 1.0


class FrameQueue:
    """Frames that wait to be sent by a thread; `close` ends the sending."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[Frame | None] = queue.SimpleQueue()

    def put(self, frame: Frame) -> None:
        """Send a frame."""
        self._queue.put(frame)

    def close(self) -> None:
        """End the sending."""
        self._queue.put(None)

    def batches(self) -> Iterator[bytes]:
        """Yield what is due, as encoded `Frames`; wait while there is nothing."""
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


class _Pending:
    """A call without an answer yet."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: bytes | None = None
        self.error = ""


class PeerStream:
    """One stream to a peer; once broken it fails all its calls and stays so."""

    def __init__(self, peer: str, method: grpc.StreamStreamMultiCallable):
        self._peer = peer
        self._token = trio.lowlevel.current_trio_token()
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._frames = FrameQueue()
        self.is_broken = False
        # Time of the last answer, or of the first call since then.
        self._heard_at = trio.current_time()
        self._called_at = self._heard_at
        self._call = method(self._frames.batches())
        threading.Thread(target=self._read, name=f"to-{peer}", daemon=True).start()

    @property
    def is_silent(self) -> bool:
        """Whether calls get no answer though the stream isn't broken."""
        if self.is_broken:
            return False
        return trio.current_time() - self._heard_at > _SILENCE_SECONDS

    def is_idle(self, seconds: float) -> bool:
        """Whether no call was made for so long, and none is under way."""
        has_pending = bool(self._pending)
        return not has_pending and trio.current_time() - self._called_at > seconds

    async def call(self, data: bytes, timeout: float) -> bytes:
        """Return the peer's answer.

        Raise `Failure` with `PEER_UNREACHABLE` after `timeout` seconds, or when
        the stream breaks.
        """
        number = next(self._numbers)
        pending = _Pending()
        self._called_at = trio.current_time()
        if not self._pending:
            self._heard_at = trio.current_time()
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
        """End the stream; its calls fail."""
        self._frames.close()
        self._call.cancel()
        self._break("the connection was closed")

    def _read(self) -> None:
        reason = "the stream ended"
        try:
            for data in self._call:
                self._run_in_loop(self._take, Frames.FromString(data).frames)
        except grpc.RpcError as error:
            reason = error.code().name
        except DecodeError:
            reason = "its answers can't be decoded"
            self._call.cancel()
        self._frames.close()
        self._run_in_loop(self._break, reason)

    def _run_in_loop(self, function: Callable, argument: object) -> None:
        try:
            self._token.run_sync_soon(function, argument)
        except trio.RunFinishedError:
            return

    def _take(self, frames: Iterable[Frame]) -> None:
        self._heard_at = trio.current_time()
        for frame in frames:
            pending = self._pending.get(frame.call)
            if pending is not None:
                pending.answer = frame.envelope
                pending.done.set()

    def _break(self, reason: str) -> None:
        self.is_broken = True
        for pending in self._pending.values():
            pending.error = reason
            pending.done.set()
