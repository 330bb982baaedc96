"""Origin of each value of a configuration: a document or the default."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from pepperstep.configuration.documents import Document, merge
from pepperstep.configuration.paths import key_path
from pepperstep.configuration.schema import SECTIONS

__all__ = ["DEFAULT", "Origin", "origins"]

# Origin of a value that no document sets.
DEFAULT = "default"

_BASE_SECTIONS = ("sites", "limits", "upstream_keys")


@dataclass(frozen=True, slots=True)
class Origin:
    """A value of the merged configuration and the document that sets it."""

    # Key path, as in "deployments.chat.max_replicas".
    path: str
    # The value as JSON.
    value: str
    # "base", the site of an overlay or "default".
    document: str


def origins(base: Document, overlays: Iterable[Document]) -> list[Origin]:
    """Return each value of the merged documents, sorted by path.

    Raise `InvalidDocument` if the documents are not valid in combination.
    """
    overlays = list(overlays)
    configuration = merge(base, overlays)
    found: list[Origin] = []
    for part in (*_BASE_SECTIONS, *SECTIONS):
        value = _to_plain(getattr(configuration, part))
        for keys, leaf in _leaves((part,), value):
            found.append(_origin(keys, leaf, base, overlays))
    return sorted(found, key=lambda origin: origin.path)


def _origin(
    keys: tuple[str, ...], leaf: Any, base: Document, overlays: list[Document]
) -> Origin:
    text = msgspec.json.encode(leaf).decode()
    for document in (*overlays, base):
        if _has_value(document.table, keys):
            return Origin(key_path(keys), text, document.name)
    return Origin(key_path(keys), text, DEFAULT)


def _has_value(table: Mapping[str, Any], keys: tuple[str, ...]) -> bool:
    value: Any = table
    for key in keys:
        if not isinstance(value, dict) or key not in value:
            return False
        value = value[key]
    return True


def _to_plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    if dataclasses.is_dataclass(value):
        names = [item.name for item in dataclasses.fields(value)]
        return {name: getattr(value, name) for name in names}
    return value


def _leaves(keys: tuple[str, ...], value: Any) -> Iterator[tuple[tuple[str, ...], Any]]:
    if not isinstance(value, dict):
        yield keys, value
        return
    for key, item in value.items():
        yield from _leaves((*keys, key), item)
