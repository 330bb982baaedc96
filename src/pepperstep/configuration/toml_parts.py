"""TOML parsing in cached parts, so that reparsing after a small change is cheap.

A text is split before each line that starts with a bracket. If the parts can't be
parsed separately, `tomllib` parses the whole text and raises any error.
"""

import functools
import re
import tomllib
from collections.abc import Mapping
from typing import Any

__all__ = ["load_toml"]

_CACHED_PARTS = 4096
_HEADER_START = re.compile(r"^(?=\[)", re.MULTILINE)

_Path = tuple[str, ...]


class _InseparablePartsError(Exception):
    """The parts of the text can't be parsed separately."""


def load_toml(text: str) -> dict[str, Any]:
    """Parse `text` and return its table, which must not be modified.

    Raise the same errors as `tomllib.loads`.
    """
    try:
        return _join(_HEADER_START.split(text))
    except (_InseparablePartsError, ValueError, RecursionError):
        return tomllib.loads(text)


def _join(parts: list[str]) -> dict[str, Any]:
    root = dict(tomllib.loads(parts[0]))
    # Tables created by headers; later headers may add to them.
    tables: dict[_Path, dict[str, Any]] = {(): root}
    for part in parts[1:]:
        path, table = _read_part(part)
        parent = _parent(tables, path)
        if path[-1] in parent:
            raise _InseparablePartsError
        # Copied, because later headers may add to the table.
        tables[path] = parent[path[-1]] = dict(table)
    return root


def _parent(tables: dict[_Path, dict[str, Any]], path: _Path) -> dict[str, Any]:
    for length in range(1, len(path)):
        place = path[:length]
        if place in tables:
            continue
        above = tables[place[:-1]]
        if place[-1] in above:
            raise _InseparablePartsError
        tables[place] = above[place[-1]] = {}
    return tables[path[:-1]]


@functools.lru_cache(maxsize=_CACHED_PARTS)
def _read_part(part: str) -> tuple[_Path, Mapping[str, Any]]:
    """Return the path in the part's header and the table under the header."""
    path: list[str] = []
    header: Any = tomllib.loads(part.partition("\n")[0])
    table: Any = tomllib.loads(part)
    while header:
        if not isinstance(header, dict) or len(table) != 1:
            raise _InseparablePartsError
        ((key, header),) = header.items()
        path.append(key)
        table = table[key]
    if not path or not isinstance(table, dict):
        raise _InseparablePartsError
    return tuple(path), table
