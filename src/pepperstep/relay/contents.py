"""Digests that recognise a content when it is sent again as a new request."""

import xxhash

from pepperstep.relay.attempt import RelayedRequest

__all__ = ["content_digest"]


def content_digest(request: RelayedRequest) -> int:
    """Return a 64-bit digest of what makes two requests the same to an upstream.

    Those are workspace, method, host, target and body. Ids and deadlines differ each
    time that a caller sends the same content.
    """
    head = request.exchange.head
    parts = (
        request.workspace_name.encode(),
        head.method,
        head.first(b"host").lower(),
        head.target,
        request.exchange.body,
    )
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.intdigest()
