"""TOML read part by part, so that a small change costs little to read again.

A text is cut before each line that starts with a bracket. Where the parts
can't stand alone, the text is read whole by the library, which also words the
errors.
"""

import functools
import re
import tomllib
from collections.abc import Mapping
from typing import Any

__all__ = ["load_toml"]

_CACHED_PARTS = 4096
_CUT = re.compile(r"^(?=\[)", re.MULTILINE)

_Path = tuple[str, ...]


class _Inseparable(Exception):
    """The parts of this text can't be read apart from one another."""


def load_toml(text: str) -> dict[str, Any]:
    """Return the table that `text` holds, which must not be changed.

    Raise what `tomllib.loads` raises.
    """
    try:
        return _joined(_CUT.split(text))
    except (_Inseparable, ValueError, RecursionError):
        return tomllib.loads(text)


def _joined(parts: list[str]) -> dict[str, Any]:
    root = dict(tomllib.loads(parts[0]))
    # Tables that were made by headers, which other headers may add to.
    tables: dict[_Path, dict[str, Any]] = {(): root}
    for part in parts[1:]:
        path, table = _read_part(part)
        parent = _parent(tables, path)
        if path[-1] in parent:
            raise _Inseparable
        # A copy, since later headers add to it.
        tables[path] = parent[path[-1]] = dict(table)
    return root


def _parent(tables: dict[_Path, dict[str, Any]], path: _Path) -> dict[str, Any]:
    for length in range(1, len(path)):
        place = path[:length]
        if place in tables:
            continue
        above = tables[place[:-1]]
        if place[-1] in above:
            raise _Inseparable
        tables[place] = above[place[-1]] = {}
    return tables[path[:-1]]


@functools.lru_cache(maxsize=_CACHED_PARTS)
def _read_part(part: str) -> tuple[_Path, Mapping[str, Any]]:
    """Return the path of the part's header and the table below it."""
    path: list[str] = []
    header: Any = tomllib.loads(part.partition("\n")[0])
    table: Any = tomllib.loads(part)
    while header:
        if not isinstance(header, dict) or len(table) != 1:
            raise _Inseparable
        ((key, header),) = header.items()
        path.append(key)
        table = table[key]
    if not path or not isinstance(table, dict):
        raise _Inseparable
    return tuple(path), table
