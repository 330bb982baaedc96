"""Configuration documents: parsing from TOML, merging and validation.

Each value of an overlay's entry overrides that of the base's entry of the same
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
_FAULT_TEXTS = {
    "missing": "is missing",
    "unexpected_keyword_argument": "is not a known key",
    "dataclass_type": "must be a table",
    "dict_type": "must be a table",
    "tuple_type": "must be an array",
}
_SYNTAX_ERROR = re.compile(r"(?P<text>.*) \(at (?P<place>[^()]*)\)$", re.DOTALL)

T = TypeVar("T", BaseDocument, OverlayDocument)


@dataclass(frozen=True, slots=True, eq=False)
class Document:
    """A parsed document: its name, source file and table.

    The table is shared with a cache and must not be modified.
    """

    name: str
    file: str
    table: Mapping[str, Any]

    def entries(self, section: str) -> Mapping[str, Any]:
        """Return the section's entries by name, empty if it isn't a table."""
        entries = self.table.get(section)
        return entries if isinstance(entries, dict) else {}


def parse(text: str | bytes, name: str, file: str = "") -> Document:
    """Parse `text` as the document `name`.

    Findings name `file`, or `name` if `file` is empty. Raise `InvalidDocument` if
    the text isn't valid TOML or is too long.
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
    """Return the configuration that results from merging the documents.

    Raise `InvalidDocument` with all faults of all documents.
    """
    overlays = list(overlays)
    findings: list[Finding] = []
    typed_base = _validate(_BASE_ADAPTER, base.file, base.table, findings)
    base_paths = frozenset(finding.path for finding in findings)
    typed_documents = [_typed_document(base, typed_base)]
    for overlay in overlays:
        table = _with_base_values(overlay, base)
        typed = _validate(_OVERLAY_ADAPTER, overlay.file, table, findings, base_paths)
        typed_documents.append(_typed_document(overlay, typed))
    if all(typed_document.body is not None for typed_document in typed_documents):
        findings += checks.find_faults(typed_documents)
    if findings:
        raise InvalidDocument(_deduplicate(findings))
    return _combine(typed_documents, revision)


@functools.lru_cache(maxsize=_CACHED_DOCUMENTS)
def _load(text: str) -> Mapping[str, Any]:
    return load_toml(text)


def _syntax_finding(error: ValueError, file: str) -> Finding:
    found = _SYNTAX_ERROR.match(str(error))
    if found is None:
        return Finding(file, "document", f"is no TOML: {error}")
    return Finding(file, found["place"], f"is no TOML: {found['text']}")


def _typed_document(document: Document, body: BaseDocument | OverlayDocument | None):
    names = {section: frozenset(document.entries(section)) for section in SECTIONS}
    return checks.TypedDocument(document.name, document.file, body, names)


def _with_base_values(overlay: Document, base: Document) -> dict[str, Any]:
    """Return the overlay's table, its entries completed with the base's values."""
    table = dict(overlay.table)
    for section in SECTIONS:
        entries = overlay.entries(section)
        if not entries:
            continue
        base_entries = base.entries(section)
        table[section] = {
            name: _entry_with_base_values(base_entries.get(name), entry, overlay.name)
            for name, entry in entries.items()
        }
    return table


def _entry_with_base_values(base_entry: Any, entry: Any, site: str) -> Any:
    if not isinstance(entry, dict):
        return entry
    defaults = base_entry if isinstance(base_entry, dict) else {"site": site}
    return {**defaults, **entry}


def _validate(
    adapter: TypeAdapter[T],
    file: str,
    table: Mapping[str, Any],
    findings: list[Finding],
    reported: frozenset[str] = frozenset(),
) -> T | None:
    """Return the typed document without its faulty entries.

    Return None if the document isn't valid without them either. Append a finding
    for each fault whose path isn't in `reported`.
    """
    try:
        return adapter.validate_python(table)
    except ValidationError as error:
        faults = error.errors(
            include_url=False, include_context=False, include_input=False
        )
    for fault in faults:
        path = key_path(fault["loc"])
        # A fault in a value inherited from the base is reported for the base.
        if path not in reported:
            findings.append(Finding(file, path, _fault_text(fault)))
    try:
        return adapter.validate_python(
            _without_faults(table, [f["loc"] for f in faults])
        )
    except ValidationError:
        return None


def _fault_text(fault: Mapping[str, Any]) -> str:
    is_unknown = fault["type"] == "unexpected_keyword_argument"
    if is_unknown and fault["loc"][0] in _BASE_ONLY and len(fault["loc"]) == 1:
        return "stands in the base only"
    return _FAULT_TEXTS.get(fault["type"], fault["msg"])


def _without_faults(
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


def _deduplicate(findings: list[Finding]) -> list[Finding]:
    return list(dict.fromkeys(findings))


def _combine(
    typed_documents: list[checks.TypedDocument], revision: int
) -> Configuration:
    base = typed_documents[0].body
    sections = {
        section: {
            name: entry
            for typed_document in typed_documents
            for name, entry in getattr(typed_document.body, section).items()
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
