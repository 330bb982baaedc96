"""Key paths in documents, written as TOML writes dotted keys."""

import json
import re
from collections.abc import Iterable

__all__ = ["key_path"]

_BARE = re.compile(r"[A-Za-z0-9_-]+")
# Where pydantic points at a key in place of its value.
_KEY_MARK = "[key]"


def key_path(keys: Iterable[int | str]) -> str:
    """Return the path of nested `keys`; a number is an array's index."""
    path = ""
    for key in keys:
        if key == _KEY_MARK:
            continue
        if isinstance(key, int):
            path += f"[{key}]"
            continue
        path += ("." if path else "") + _quoted(key)
    return path or "document"


def _quoted(key: str) -> str:
    return key if _BARE.fullmatch(key) else json.dumps(key)
