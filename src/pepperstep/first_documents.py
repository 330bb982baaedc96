"""Proposes the documents of the settings while no configuration was agreed."""

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

_PERIOD = 0.5
_PROPOSE_SECONDS = 5.0


async def propose_first_documents(
    documents: DocumentSettings,
    store: ConfigurationStore,
    agreement: Agreement,
    timers: Timers,
) -> None:
    """Propose base and overlays if this host leads and nothing was agreed yet.

    Return once there is a configuration. All control hosts may try: the change
    ids are the same, so each document is accepted once.
    """
    if not documents.base:
        return
    changes = _changes_of(documents)
    async for _ in timers.subscribe(_PERIOD):
        if store.is_ready and store.revision >= len(changes):
            return
        if agreement.is_leader and store.is_ready:
            await _propose(changes, store)


async def _propose(changes: list[Change], store: ConfigurationStore) -> None:
    for change in changes:
        try:
            answer = await store.apply_change(change, _PROPOSE_SECONDS)
        except Failure as failure:
            if failure.code is not Code.NO_QUORUM:
                raise
            return
        logging.info("configuration: First %s: %s.", change.document, answer.status)


def _changes_of(documents: DocumentSettings) -> list[Change]:
    """Return the changes, each made by an operator of the document's site."""
    base = _read(documents.base, BASE)
    changes = [
        Change("first-base", BASE, _text(documents.base), 0, _base_operator(base), "")
    ]
    for path in documents.overlays:
        overlay = _read(path, "")
        site = str(overlay.table["site"])
        operator = _site_operator(base, overlay, site)
        text = _text(path)
        changes.append(
            Change(f"first-{site}", site, text, len(changes), operator, site)
        )
    return changes


def _text(path: str) -> str:
    return Path(path).read_text()


def _read(path: str, name: str) -> Document:
    return parse(_text(path), name, path)


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
