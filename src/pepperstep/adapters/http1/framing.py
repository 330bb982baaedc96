"""Message framing and hop-by-hop headers of HTTP/1.1."""

from collections.abc import Iterable

from pepperstep.ports.exchange import Header

__all__ = ["end_to_end_headers", "has_conflicting_framing"]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def has_conflicting_framing(headers: Iterable[Header]) -> bool:
    """Whether Transfer-Encoding is repeated or accompanied by Content-Length.

    Two parsers that resolve the conflict differently see different requests,
    which allows request smuggling.
    """
    names = [name for name, _ in headers]
    encodings = names.count(b"transfer-encoding")
    if not encodings:
        return False
    return encodings > 1 or b"content-length" in names


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers without the hop-by-hop ones."""
    headers = list(headers)
    hop_by_hop = set(_HOP_BY_HOP)
    for name, value in headers:
        if name == b"connection":
            hop_by_hop |= {each.strip().lower() for each in value.split(b",")}
    return [header for header in headers if header[0] not in hop_by_hop]
