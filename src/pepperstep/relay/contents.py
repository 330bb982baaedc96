"""Digests of what requests have in common: their whole content, or prompt parts."""

from collections.abc import Sequence

import xxhash

from pepperstep.coordination.suspects import part_digest
from pepperstep.ports.exchange import Exchange
from pepperstep.ports.relaying import PromptPart

__all__ = ["content_digest", "part_digests"]

# Shared parts of a prompt that are told apart. It bounds what a caller that makes up
# parts adds to the hosts' state.
_MAX_PARTS = 16


def content_digest(workspace: str, exchange: Exchange) -> int:
    """Return a 64-bit digest of what makes two requests the same to an upstream.

    Those are workspace, method, host, target and body. Ids and deadlines differ each
    time that a caller sends the same content.
    """
    head = exchange.head
    parts = (
        workspace.encode(),
        head.method,
        head.first(b"host").lower(),
        head.target,
        exchange.body,
    )
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.intdigest()


def part_digests(parts: Sequence[PromptPart]) -> tuple[int, ...]:
    """Return the digests of the first parts that a prompt may share with others.

    The last part belongs to the request alone.
    """
    ids = dict.fromkeys(part.id.lower() for part in parts[:-1])
    return tuple(
        part_digest(xxhash.xxh3_64_intdigest(part.encode()))
        for part in list(ids)[:_MAX_PARTS]
    )
