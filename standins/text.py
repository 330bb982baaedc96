"""Deterministic text of the stand-in engine, and its token count."""

import xxhash

__all__ = ["answer_token", "answer_tokens", "count_tokens"]

_CHARACTERS_PER_TOKEN = 4


def answer_token(
    model: str, adapter: str, version: str, seed: int, prompt: str, position: int
) -> str:
    """Return the token at `position` of the deterministic answer."""
    text = f"{model}\0{adapter}\0{version}\0{seed}\0{prompt}\0{position}"
    return f"{xxhash.xxh32_intdigest(text.encode()):08x} "


def answer_tokens(
    model: str, adapter: str, version: str, seed: int, prompt: str, count: int
) -> list[str]:
    """Return the first `count` tokens of the deterministic answer."""
    return [
        answer_token(model, adapter, version, seed, prompt, position)
        for position in range(count)
    ]


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)
