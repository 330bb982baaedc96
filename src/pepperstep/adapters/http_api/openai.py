"""Requests and answers in the form of the OpenAI interface."""

import time
from typing import Any

import msgspec

from pepperstep.entities import Outcome, RequestKind
from pepperstep.errors import Code, Failure

__all__ = ["Body", "ChunkWriter", "parse_body", "whole_answer"]


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[dict[str, Any]] | None = None


class Body(msgspec.Struct):
    """The parts of a request body that are used; others are let pass."""

    model: str
    messages: list[Message] = []
    prompt: str | list[str] = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    seed: int | None = None
    stream: bool = False

    def to_prompt(self, kind: RequestKind) -> str:
        """Return the prompt as one text."""
        if kind is RequestKind.CHAT:
            return "\n".join(f"{m.role}: {_text_of(m.content)}" for m in self.messages)
        return self.prompt if isinstance(self.prompt, str) else "\n".join(self.prompt)

    def token_limit(self, default: int) -> int:
        """Return the number of tokens asked for."""
        limit = self.max_completion_tokens or self.max_tokens
        return default if limit is None else limit


_decode_body = msgspec.json.Decoder(Body).decode


def parse_body(data: bytes, kind: RequestKind) -> Body:
    """Return the body; raise `Failure` with `INVALID_REQUEST` if it's wrong."""
    try:
        body = _decode_body(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Failure(Code.INVALID_REQUEST, f"Body: {error}") from error
    if kind is RequestKind.CHAT and not body.messages:
        raise Failure(Code.INVALID_REQUEST, "Body: `messages` is empty.")
    if body.token_limit(1) < 1:
        raise Failure(Code.INVALID_REQUEST, "Body: `max_tokens` must be positive.")
    return body


class ChunkWriter:
    """Writes the events of one streamed answer."""

    def __init__(self, kind: RequestKind, request_id: str, model: str):
        self._request_id = request_id
        is_chat = kind is RequestKind.CHAT
        name = "chat.completion.chunk" if is_chat else "text_completion"
        head = {
            "id": request_id,
            "object": name,
            "created": int(time.time()),
            "model": model,
        }
        encoded = msgspec.json.encode(head)[:-1]
        part = b'"delta":{"content":' if is_chat else b'"text":'
        self._before = encoded + b',"choices":[{"index":0,' + part
        closing = b"}" if is_chat else b""
        self._after = closing + b',"finish_reason":null}]}\n\n'
        empty = b'"delta":{}' if is_chat else b'"text":""'
        self._end = encoded + b',"choices":[{"index":0,' + empty

    def tokens(self, position: int, tokens: list[str]) -> bytes:
        """Return the event with `tokens`, the first of which is at `position`."""
        next_position = position + len(tokens)
        text = msgspec.json.encode("".join(tokens))
        event_id = f"id: {self._request_id}/{next_position}\ndata: ".encode()
        return event_id + self._before + text + self._after

    def end(self, outcome: Outcome) -> bytes:
        """Return the last events of a whole answer."""
        finish = msgspec.json.encode(outcome.finish)
        return (
            b"data: "
            + self._end
            + b',"finish_reason":'
            + finish
            + b"}]}\n\ndata: [DONE]\n\n"
        )


def whole_answer(
    kind: RequestKind,
    request_id: str,
    model: str,
    prompt_tokens: int,
    tokens: list[str],
    finish: str,
) -> dict:
    """Return an answer that isn't streamed."""
    text = "".join(tokens)
    if kind is RequestKind.CHAT:
        name = "chat.completion"
        choice = {"message": {"role": "assistant", "content": text}}
    else:
        name = "text_completion"
        choice = {"text": text}
    return {
        "id": request_id,
        "object": name,
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, **choice, "finish_reason": finish}],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": prompt_tokens + len(tokens),
        },
    }


def _text_of(content: str | list[dict[str, Any]] | None) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return "".join(str(part.get("text", "")) for part in content)
