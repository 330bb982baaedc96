"""Digests that recognise a content when it is sent again as a new request."""

import xxhash

from pepperstep.ports.exchange import Exchange

__all__ = ["content_digest"]


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
