"""Bootstrap of the configuration from the documents in the settings."""

from pathlib import Path

from absl import logging

from pepperstep.configuration import (
    BASE,
    Change,
    ConfigurationStore,
    Document,
    parse,
)
from pepperstep.errors import Code, Failure
from pepperstep.ports import Agreement, Timers
from pepperstep.settings import DocumentSettings

__all__ = ["propose_first_documents"]

_CHECK_PERIOD_SECONDS = 0.5
_PROPOSE_TIMEOUT_SECONDS = 5.0


async def propose_first_documents(
    documents: DocumentSettings,
    store: ConfigurationStore,
    agreement: Agreement,
    timers: Timers,
) -> None:
    """Propose the base and overlays if this host leads and no configuration exists.

    Return once all documents are committed. Any control host may try: the change ids
    are fixed, so each document is accepted once.
    """
    if not documents.base:
        return
    changes = _make_changes(documents)
    async for _ in timers.subscribe(_CHECK_PERIOD_SECONDS):
        if store.is_ready and store.revision >= len(changes):
            return
        if agreement.is_leader and store.is_ready:
            await _propose(changes, store)


async def _propose(changes: list[Change], store: ConfigurationStore) -> None:
    for change in changes:
        try:
            answer = await store.apply_change(change, _PROPOSE_TIMEOUT_SECONDS)
        except Failure as failure:
            if failure.code is not Code.NO_QUORUM:
                raise
            return
        logging.info("configuration: Initial %s: %s.", change.document, answer.status)


def _make_changes(documents: DocumentSettings) -> list[Change]:
    """Return one change per document, made by an operator of its site."""
    base = _parse_file(documents.base, BASE)
    changes = [
        Change(
            "first-base", BASE, _read_text(documents.base), 0, _base_operator(base), ""
        )
    ]
    for path in documents.overlays:
        overlay = _parse_file(path, "")
        site = str(overlay.table["site"])
        operator = _site_operator(base, overlay, site)
        text = _read_text(path)
        changes.append(
            Change(f"first-{site}", site, text, len(changes), operator, site)
        )
    return changes


def _read_text(path: str) -> str:
    return Path(path).read_text()


def _parse_file(path: str, name: str) -> Document:
    return parse(_read_text(path), name, path)


def _base_operator(base: Document) -> str:
    for name, operator in base.entries("operators").items():
        if operator.get("may_change_base"):
            return name
    return ""


def _site_operator(base: Document, overlay: Document, site: str) -> str:
    for name, operator in base.entries("operators").items():
        if operator.get("site") == site:
            return name
    return next(iter(overlay.entries("operators")), "")
