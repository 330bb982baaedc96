"""Request and response bodies of the OpenAI API."""

import time
from typing import Annotated, Any

import msgspec

from pepperstep.adapters.http_api.web import decode_body
from pepperstep.entities import Outcome, RequestKind
from pepperstep.errors import Code, Failure

__all__ = ["Body", "ChunkWriter", "count_tokens", "parse_body", "whole_answer"]

_CHARACTERS_PER_TOKEN = 4
_MAX_NAME_LENGTH = 200

_Count = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
_Seed = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

# Parameters that engines don't support, with the values that have no effect and are
# therefore accepted.
_UNSUPPORTED: dict[str, tuple[Any, ...]] = {
    "n": (None, 1),
    "best_of": (None, 1),
    "echo": (None, False),
    "suffix": (None, ""),
    "logprobs": (None, False),
    "top_logprobs": (None, 0),
    "stop": (None, [], ""),
    "tools": (None, []),
    "functions": (None, []),
    "audio": (None,),
    "modalities": (None, ["text"]),
    "response_format": (None, {"type": "text"}),
}


class Message(msgspec.Struct):
    """A chat message."""

    role: str
    content: str | list[dict[str, Any]] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool | None = False


class Body(msgspec.Struct):
    """The fields of a request body that are checked; others are ignored."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
    messages: list[Message] = []
    prompt: str | list[str] = ""
    max_tokens: _Count | None = None
    max_completion_tokens: _Count | None = None
    seed: _Seed | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    # Ignored, but values of the wrong type are refused.
    temperature: float | None = None
    top_p: float | None = None
    # Refused unless the value has no effect; see `_UNSUPPORTED`.
    n: Any = None
    best_of: Any = None
    echo: Any = None
    suffix: Any = None
    logprobs: Any = None
    top_logprobs: Any = None
    stop: Any = None
    tools: Any = None
    functions: Any = None
    audio: Any = None
    modalities: Any = None
    response_format: Any = None

    @property
    def includes_usage(self) -> bool:
        """Whether a streamed answer ends with the token counts."""
        options = self.stream_options
        return options is not None and bool(options.include_usage)

    def to_prompt(self, kind: RequestKind) -> str:
        """Return the prompt as a single text."""
        if kind is RequestKind.CHAT:
            return "\n".join(f"{m.role}: {_text_of(m.content)}" for m in self.messages)
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]

    def token_limit(self, default: int) -> int:
        """Return the requested maximum number of tokens, or `default`."""
        return self.max_completion_tokens or self.max_tokens or default


_decode = msgspec.json.Decoder(Body).decode


def count_tokens(text: str) -> int:
    """Estimate the number of tokens in a prompt, at least one."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)


def parse_body(data: bytes, kind: RequestKind) -> Body:
    """Decode a body; raise `Failure` with `INVALID_REQUEST` if it's invalid."""
    body = decode_body(_decode, data, "Body")
    if kind is RequestKind.CHAT and not body.messages:
        raise Failure(Code.INVALID_REQUEST, "Body: `messages` is empty.")
    if isinstance(body.prompt, list) and len(body.prompt) != 1:
        raise Failure(Code.INVALID_REQUEST, "Body: `prompt` must be one text.")
    for name, allowed in _UNSUPPORTED.items():
        if getattr(body, name) not in allowed:
            text = f"Body: `{name}` is not supported with this value."
            raise Failure(Code.INVALID_REQUEST, text)
    return body


class ChunkWriter:
    """Encodes the server-sent events of one streamed answer.

    Each event with tokens has an id, at which another connection can resume.
    """

    def __init__(
        self,
        kind: RequestKind,
        request_id: str,
        model: str,
        prompt_tokens: int = 0,
        includes_usage: bool = False,
    ):
        self._prompt_tokens = prompt_tokens
        self._includes_usage = includes_usage
        self._position = 0
        is_chat = kind is RequestKind.CHAT
        head = {
            "id": request_id,
            "object": "chat.completion.chunk" if is_chat else "text_completion",
            "created": int(time.time()),
            "model": model,
        }
        self._id = f"id: {request_id}/".encode()
        self._encoded = b"data: " + msgspec.json.encode(head)[:-1]
        choice = self._encoded + b',"choices":[{"index":0,'
        text = b'"delta":{"content":' if is_chat else b'"text":'
        role = b'"delta":{"role":"assistant","content":' if is_chat else text
        self._before_first = b"\n" + choice + role
        self._before = b"\n" + choice + text
        tail = b"]," + b'"usage":null}\n\n' if includes_usage else b"]}\n\n"
        self._after = (b"}" if is_chat else b"") + b',"finish_reason":null}' + tail
        empty = b'"delta":{}' if is_chat else b'"text":""'
        self._end = choice + empty + b',"finish_reason":%s}' + tail

    def tokens(self, position: int, tokens: list[str]) -> bytes:
        """Return the event for `tokens`, whose first token has `position`."""
        self._position = position + len(tokens)
        return b"%s%d%s%s%s" % (
            self._id,
            self._position,
            self._before if position else self._before_first,
            msgspec.json.encode("".join(tokens)),
            self._after,
        )

    def end(self, outcome: Outcome) -> bytes:
        """Return the events that end the answer."""
        end = self._end % msgspec.json.encode(outcome.finish)
        if not self._includes_usage:
            return end + b"data: [DONE]\n\n"
        usage = msgspec.json.encode(_usage(self._prompt_tokens, self._position))
        counts = self._encoded + b',"choices":[],"usage":' + usage + b"}\n\n"
        return end + counts + b"data: [DONE]\n\n"


def whole_answer(
    kind: RequestKind,
    request_id: str,
    model: str,
    prompt_tokens: int,
    tokens: list[str],
    finish: str,
) -> dict:
    """Return the body of an answer that isn't streamed."""
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
        "usage": _usage(prompt_tokens, len(tokens)),
    }


def _usage(prompt_tokens: int, completion_tokens: int) -> dict:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }


def _text_of(content: str | list[dict[str, Any]] | None) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return "".join(_part_text(part) for part in content)


def _part_text(part: dict[str, Any]) -> str:
    text = part.get("text")
    if part.get("type", "text") != "text" or not isinstance(text, str):
        raise Failure(Code.INVALID_REQUEST, "Body: A message may hold only text.")
    return text
