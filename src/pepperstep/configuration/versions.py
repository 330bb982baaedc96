"""Texts of all documents at one revision, and the last steps leading to it.

Each revision changes one document, so a host that is a few revisions behind needs
only as many small steps.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import xxhash

from pepperstep.configuration.changes import splice_to_message
from pepperstep.proto.configuration_pb2 import (
    ConfigurationUpdate,
    DocumentText,
    RevisionStep,
)
from pepperstep.splices import apply_splices, make_splice

__all__ = ["DocumentVersions", "TextVersion"]

_MAX_STEPS = 512
_MAX_STEP_BYTES = 128 * 1024


@dataclass(frozen=True, slots=True)
class TextVersion:
    """A document's text and the revision of its last change."""

    text: str
    revision: int


class DocumentVersions:
    """The texts of all documents; updates only move the revision forward."""

    def __init__(self) -> None:
        self._revision = 0
        self._texts: dict[str, TextVersion] = {}
        self._steps: deque[RevisionStep] = deque()
        self._step_bytes = 0

    @property
    def revision(self) -> int:
        """Revision of the texts."""
        return self._revision

    @property
    def texts(self) -> Mapping[str, TextVersion]:
        """The documents by name; a removed overlay has no text."""
        return MappingProxyType(self._texts)

    def text_of(self, document: str) -> str:
        """Return a document's text, "" if there is none."""
        version = self._texts.get(document)
        return version.text if version else ""

    def revision_of(self, document: str) -> int:
        """Return the revision of a document's last change, 0 if there is none."""
        version = self._texts.get(document)
        return version.revision if version else 0

    def put(self, document: str, text: str) -> int:
        """Create the next revision with the document's new text and return it."""
        splice = make_splice(self.text_of(document), text)
        step = RevisionStep(
            revision=self._revision + 1,
            document=document,
            splice=splice_to_message(splice),
            digest=_digest(text),
        )
        self._advance(step, text)
        return self._revision

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Apply another host's update; return False if it doesn't fit this revision.

        An update that isn't newer changes nothing and returns True.
        """
        if update.revision <= self._revision:
            return True
        if update.since > self._revision:
            return False
        if update.steps:
            return self._apply_steps(update.steps) and self._revision >= update.revision
        self._replace_texts(update.revision, update.texts)
        return True

    def update_since(
        self, revision: int, needs_texts: bool = False
    ) -> ConfigurationUpdate:
        """Return the update that a host at `revision` is missing.

        It contains steps if all of them are still kept and `needs_texts` is False,
        otherwise the complete texts of the changed documents.
        """
        update = ConfigurationUpdate(since=revision, revision=self._revision)
        if revision >= self._revision:
            return update
        steps = [step for step in self._steps if step.revision > revision]
        has_all_steps = len(steps) == self._revision - revision
        if has_all_steps and not needs_texts:
            update.steps.extend(steps)
        else:
            update.texts.extend(self.changed_texts(revision))
        return update

    def changed_texts(self, revision: int = 0) -> list[DocumentText]:
        """Return the documents that changed after `revision`, sorted by name."""
        return [
            DocumentText(name=name, text=version.text, revision=version.revision)
            for name, version in sorted(self._texts.items())
            if version.revision > revision
        ]

    def restore(self, revision: int, texts: Iterable[DocumentText]) -> None:
        """Replace all texts by a snapshot's, even if the snapshot is older."""
        self._texts.clear()
        self._replace_texts(revision, texts)

    def _replace_texts(self, revision: int, texts: Iterable[DocumentText]) -> None:
        for text in texts:
            self._texts[text.name] = TextVersion(text.text, text.revision)
        self._revision = revision
        self._steps.clear()
        self._step_bytes = 0

    def _apply_steps(self, steps: Iterable[RevisionStep]) -> bool:
        for step in steps:
            if step.revision <= self._revision:
                continue
            try:
                text = apply_splices(self.text_of(step.document), [step.splice])
            except ValueError:
                return False
            is_next = step.revision == self._revision + 1
            if not is_next or _digest(text) != step.digest:
                return False
            self._advance(step, text)
        return True

    def _advance(self, step: RevisionStep, text: str) -> None:
        self._texts[step.document] = TextVersion(text, step.revision)
        self._revision = step.revision
        self._steps.append(step)
        self._step_bytes += step.ByteSize()
        while len(self._steps) > _MAX_STEPS or self._step_bytes > _MAX_STEP_BYTES:
            self._step_bytes -= self._steps.popleft().ByteSize()


def _digest(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
