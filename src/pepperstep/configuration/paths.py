"""Key paths in documents, in the notation of TOML's dotted keys."""

import json
import re
from collections.abc import Iterable

__all__ = ["key_path"]

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
# Element that pydantic appends to the location of a fault in a key.
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
    return key if _BARE_KEY.fullmatch(key) else json.dumps(key)
