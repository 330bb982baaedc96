"""Documents of the configuration: read from TOML, merged, validated whole.

An overlay's entry is merged, value by value, over the base's entry of the same
name. All faults are collected and raised together as `InvalidDocument`.
"""

import functools
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from pepperstep.configuration import checks
from pepperstep.configuration.paths import key_path
from pepperstep.configuration.schema import (
    SECTIONS,
    BaseDocument,
    Configuration,
    OverlayDocument,
)
from pepperstep.configuration.toml_parts import load_toml
from pepperstep.errors import Finding, InvalidDocument

__all__ = ["MAX_DOCUMENT_BYTES", "Document", "merge", "parse"]

MAX_DOCUMENT_BYTES = 256 * 1024

_CACHED_DOCUMENTS = 8
_BASE_ADAPTER = TypeAdapter(BaseDocument)
_OVERLAY_ADAPTER = TypeAdapter(OverlayDocument)
_BASE_ONLY = frozenset({"sites", "limits", "upstream_keys"})
_TEXTS = {
    "missing": "is missing",
    "unexpected_keyword_argument": "is not a known key",
    "dataclass_type": "must be a table",
    "dict_type": "must be a table",
    "tuple_type": "must be an array",
}
_SYNTAX_PLACE = re.compile(r"(?P<text>.*) \(at (?P<place>[^()]*)\)$", re.DOTALL)

T = TypeVar("T", BaseDocument, OverlayDocument)


@dataclass(frozen=True, slots=True, eq=False)
class Document:
    """One document as read: its name, where it came from, and its table.

    The table is shared and must not be changed.
    """

    name: str
    file: str
    table: Mapping[str, Any]

    def entries(self, section: str) -> Mapping[str, Any]:
        """Return the section's entries by name, none if it is no table."""
        entries = self.table.get(section)
        return entries if isinstance(entries, dict) else {}


def parse(text: str | bytes, name: str, file: str = "") -> Document:
    """Return the document `name` that `text` holds.

    `file` stands in the findings, `name` if it is empty. Raise
    `InvalidDocument` if the text is no TOML.
    """
    file = file or name
    try:
        data = text.encode() if isinstance(text, str) else text
        if len(data) > MAX_DOCUMENT_BYTES:
            fault = f"is longer than {MAX_DOCUMENT_BYTES} bytes"
            raise InvalidDocument([Finding(file, "document", fault)])
        return Document(name, file, _load(data.decode()))
    except UnicodeEncodeError as error:
        place = f"character {error.start}"
        raise InvalidDocument([Finding(file, place, "is no Unicode text")]) from None
    except UnicodeDecodeError as error:
        place = f"byte {error.start}"
        raise InvalidDocument([Finding(file, place, "is not UTF-8")]) from None
    except RecursionError:
        raise InvalidDocument([Finding(file, "document", "nests too deep")]) from None
    except ValueError as error:
        raise InvalidDocument([_syntax_finding(error, file)]) from None


def merge(
    base: Document, overlays: Iterable[Document], revision: int = 0
) -> Configuration:
    """Return the configuration that the documents make together.

    Raise `InvalidDocument` with all that is wrong in any of them.
    """
    overlays = list(overlays)
    findings: list[Finding] = []
    typed_base = _validated(_BASE_ADAPTER, base.file, base.table, findings)
    base_paths = frozenset(finding.path for finding in findings)
    parts = [_part(base, typed_base)]
    for overlay in overlays:
        table = _filled(overlay, base)
        typed = _validated(_OVERLAY_ADAPTER, overlay.file, table, findings, base_paths)
        parts.append(_part(overlay, typed))
    if all(part.body is not None for part in parts):
        findings += checks.find_faults(parts)
    if findings:
        raise InvalidDocument(_distinct(findings))
    return _combined(parts, revision)


@functools.lru_cache(maxsize=_CACHED_DOCUMENTS)
def _load(text: str) -> Mapping[str, Any]:
    return load_toml(text)


def _syntax_finding(error: ValueError, file: str) -> Finding:
    found = _SYNTAX_PLACE.match(str(error))
    if found is None:
        return Finding(file, "document", f"is no TOML: {error}")
    return Finding(file, found["place"], f"is no TOML: {found['text']}")


def _part(document: Document, body: BaseDocument | OverlayDocument | None):
    names = {section: frozenset(document.entries(section)) for section in SECTIONS}
    return checks.Part(document.name, document.file, body, names)


def _filled(overlay: Document, base: Document) -> dict[str, Any]:
    """Return the overlay's table with what its entries take from the base."""
    table = dict(overlay.table)
    for section in SECTIONS:
        entries = overlay.entries(section)
        if not entries:
            continue
        shared = base.entries(section)
        table[section] = {
            name: _filled_entry(shared.get(name), entry, overlay.name)
            for name, entry in entries.items()
        }
    return table


def _filled_entry(shared: Any, entry: Any, site: str) -> Any:
    if not isinstance(entry, dict):
        return entry
    start = shared if isinstance(shared, dict) else {"site": site}
    return {**start, **entry}


def _validated(
    adapter: TypeAdapter[T],
    file: str,
    table: Mapping[str, Any],
    findings: list[Finding],
    reported: frozenset[str] = frozenset(),
) -> T | None:
    """Return the typed document without its faulty entries, if that's possible."""
    try:
        return adapter.validate_python(table)
    except ValidationError as error:
        faults = error.errors(
            include_url=False, include_context=False, include_input=False
        )
    for fault in faults:
        path = key_path(fault["loc"])
        # What an overlay's entry takes from the base is reported there.
        if path not in reported:
            findings.append(Finding(file, path, _fault_text(fault)))
    try:
        return adapter.validate_python(_pruned(table, [f["loc"] for f in faults]))
    except ValidationError:
        return None


def _fault_text(fault: Mapping[str, Any]) -> str:
    is_unknown = fault["type"] == "unexpected_keyword_argument"
    if is_unknown and fault["loc"][0] in _BASE_ONLY and len(fault["loc"]) == 1:
        return "stands in the base only"
    return _TEXTS.get(fault["type"], fault["msg"])


def _pruned(
    table: Mapping[str, Any], places: list[tuple[int | str, ...]]
) -> dict[str, Any]:
    kept = {
        key: dict(value) if isinstance(value, dict) else value
        for key, value in table.items()
    }
    for place in places:
        section = kept.get(place[0])
        if len(place) > 1 and isinstance(section, dict):
            section.pop(place[1], None)
        else:
            kept.pop(place[0], None)
    return kept


def _distinct(findings: list[Finding]) -> list[Finding]:
    return list(dict.fromkeys(findings))


def _combined(parts: list[checks.Part], revision: int) -> Configuration:
    base = parts[0].body
    sections = {
        section: {
            name: entry
            for part in parts
            for name, entry in getattr(part.body, section).items()
        }
        for section in SECTIONS
    }
    operator_sites = {
        name: operator.site for name, operator in sections["operators"].items()
    }
    return Configuration(
        revision=revision,
        sites=base.sites,
        limits=base.limits,
        operator_sites=operator_sites,
        upstream_keys=base.upstream_keys,
        **sections,
    )
