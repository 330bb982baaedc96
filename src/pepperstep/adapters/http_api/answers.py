"""Reads answers from the host and sends them to callers, streamed or whole."""

from contextlib import aclosing

from pepperstep.adapters.http_api.openai import ChunkWriter
from pepperstep.adapters.http_api.ports import EntryNode
from pepperstep.adapters.http_api.web import Call, until_disconnect
from pepperstep.entities import Outcome, Priority
from pepperstep.errors import Code, Execution, Failure
from pepperstep.observability.recorder import Recorder
from pepperstep.ports import Timers

__all__ = ["AnswerSender", "LatencyRecorder"]

_EVENT_STREAM = b"text/event-stream; charset=utf-8"


class LatencyRecorder:
    """Records the latencies of one answer, measured from the request's arrival."""

    def __init__(
        self, recorder: Recorder, timers: Timers, workspace: str, priority: Priority
    ):
        self._recorder = recorder
        self._now = timers.now
        self._workspace = workspace
        self._priority = priority
        self._arrived_at = timers.now()
        self._last_tokens_at: float | None = None

    def record_tokens(self, count: int) -> None:
        """Record that `count` tokens are ready to be sent to the caller."""
        now = self._now()
        if self._last_tokens_at is None:
            seconds = now - self._arrived_at
            self._recorder.record_first_token(self._workspace, self._priority, seconds)
        else:
            seconds = (now - self._last_tokens_at) / count
            self._recorder.record_token_interval(
                self._workspace, self._priority, seconds
            )
        self._last_tokens_at = now

    def record_end(self) -> None:
        """Record that the answer is complete."""
        seconds = self._now() - self._arrived_at
        self._recorder.record_answer(self._workspace, self._priority, seconds)


class AnswerSender:
    """Sends answers to callers until they are complete or the caller disconnects."""

    def __init__(self, node: EntryNode):
        self._node = node

    async def stream(
        self,
        call: Call,
        workspace: str,
        position: int,
        writer: ChunkWriter,
        latencies: LatencyRecorder | None = None,
    ) -> None:
        """Send the answer as server-sent events, starting at token `position`.

        Raise `Failure` if the request failed.
        """

        async def relay() -> None:
            parts = self._node.requests.read(call.request_id, workspace, position)
            async with aclosing(parts):
                async for part in parts:
                    outcome = part.outcome
                    if outcome is not None and not outcome.is_answered:
                        raise failure_of(outcome)
                    data = b""
                    if part.tokens:
                        data = writer.tokens(part.position, part.tokens)
                        if latencies is not None:
                            latencies.record_tokens(len(part.tokens))
                    if outcome is not None:
                        data += writer.end(outcome)
                    if not call.is_streaming:
                        await _start_stream(call)
                    await call.send(
                        {
                            "type": "http.response.body",
                            "body": data,
                            "more_body": outcome is None,
                        }
                    )
            if latencies is not None:
                latencies.record_end()

        await until_disconnect(call, relay)

    async def read_whole(
        self, call: Call, workspace: str, latencies: LatencyRecorder
    ) -> tuple[list[str], Outcome]:
        """Return all tokens and the outcome; raise `Failure` if the request failed."""
        tokens: list[str] = []
        outcome: Outcome | None = None

        async def collect() -> None:
            nonlocal outcome
            parts = self._node.requests.read(call.request_id, workspace, 0)
            async with aclosing(parts):
                async for part in parts:
                    if part.tokens:
                        tokens.extend(part.tokens)
                        latencies.record_tokens(len(part.tokens))
                    outcome = part.outcome

        await until_disconnect(call, collect)
        if outcome is None:
            raise Failure(
                Code.CANCELLED, "The caller left.", execution=Execution.MAY_HAVE_RUN
            )
        if not outcome.is_answered:
            raise failure_of(outcome)
        latencies.record_end()
        return tokens, outcome


def failure_of(outcome: Outcome) -> Failure:
    """Convert a failed outcome to an exception."""
    return Failure(
        outcome.code,
        outcome.text,
        execution=outcome.execution,
        retry_after=outcome.retry_after,
    )


async def _start_stream(call: Call) -> None:
    headers = [
        (b"content-type", _EVENT_STREAM),
        (b"cache-control", b"no-store"),
        (b"x-request-id", call.request_id.encode()),
    ]
    await call.send({"type": "http.response.start", "status": 200, "headers": headers})
    call.is_streaming = True
