"""Checks across all documents: owners, references, keys and bounds.

An entry of an overlay belongs to the overlay's site. An entry of the base belongs
to the site named in the entry, or to the base if it names none. A site's entries
may refer only to names of the same site and of the base, so that no partner can
access another partner's entries.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from pepperstep.configuration.paths import key_path
from pepperstep.configuration.schema import (
    BASE,
    SECTIONS,
    BaseDocument,
    Deployment,
    Limits,
    OverlayDocument,
)
from pepperstep.errors import Finding

__all__ = ["TypedDocument", "find_faults"]


@dataclass(frozen=True, slots=True, eq=False)
class TypedDocument:
    """A validated document with the names of the entries in each section.

    `names` includes faulty entries, which are absent from `body`.
    """

    name: str
    file: str
    body: BaseDocument | OverlayDocument | None
    names: Mapping[str, frozenset[str]]

    def finding(self, text: str, *keys: str) -> Finding:
        """Return a finding at the path of `keys`."""
        return Finding(self.file, key_path(keys), text)


def find_faults(documents: Sequence[TypedDocument]) -> list[Finding]:
    """Return all faults across valid documents; the first document is the base."""
    base, *overlays = documents
    return [
        *_site_faults(base, overlays),
        *_limit_faults(base),
        *_owner_faults(base, overlays),
        *_reference_faults(documents),
        *_replica_faults(documents),
        *_key_faults(documents),
    ]


def _site_faults(
    base: TypedDocument, overlays: Sequence[TypedDocument]
) -> Iterator[Finding]:
    sites = base.body.sites
    if not sites:
        yield base.finding("must name at least one site", "sites")
    if BASE in sites:
        yield base.finding("is the base's own name", "sites", BASE)
    for section in SECTIONS:
        for name, entry in getattr(base.body, section).items():
            if entry.site and entry.site not in sites:
                text = f"{entry.site} is no site"
                yield base.finding(text, section, name, "site")
    seen: set[str] = set()
    for document in overlays:
        site = document.body.site
        if site != document.name:
            yield document.finding(f"must be {document.name}, not {site}", "site")
        if document.name not in sites:
            yield document.finding(f"{document.name} is no site of the base", "site")
        if document.name in seen:
            yield document.finding(f"{document.name} has another overlay", "site")
        seen.add(document.name)


def _limit_faults(base: TypedDocument) -> Iterator[Finding]:
    limits: Limits = base.body.limits
    for name in ("outcome_seconds", "default_deadline_seconds"):
        if getattr(limits, name) >= limits.claim_seconds:
            text = f"must be longer than {name}, or a repeat could run again"
            yield base.finding(text, "limits", "claim_seconds")


def _owner_faults(
    base: TypedDocument, overlays: Sequence[TypedDocument]
) -> Iterator[Finding]:
    for section in SECTIONS:
        entries = getattr(base.body, section)
        # The owner of a faulty entry is unknown.
        unknown = base.names[section] - entries.keys()
        owners = {name: entry.site or BASE for name, entry in entries.items()}
        for document in overlays:
            for name in sorted(document.names[section] - unknown):
                owner = owners.setdefault(name, document.name)
                if owner != document.name:
                    yield document.finding(_owner_text(owner), section, name)
            yield from _overlay_entry_faults(document, section, owners)


def _owner_text(owner: str) -> str:
    if owner == BASE:
        return "belongs to the base, which names no site for it"
    return f"belongs to site {owner}"


def _overlay_entry_faults(
    document: TypedDocument, section: str, owners: Mapping[str, str]
) -> Iterator[Finding]:
    for name, entry in getattr(document.body, section).items():
        if entry.site != document.name and owners.get(name) == document.name:
            yield document.finding(f"must be {document.name}", section, name, "site")
        if section == "operators" and entry.may_change_base:
            text = "can be set in the base only"
            yield document.finding(text, section, name, "may_change_base")


def _reference_faults(documents: Sequence[TypedDocument]) -> Iterator[Finding]:
    known = frozenset().union(*(document.names["workspaces"] for document in documents))
    owners: dict[str, str] = {}
    for document in documents:
        for name, entry in document.body.workspaces.items():
            owners.setdefault(name, entry.site)
    for document in documents:
        for section, name, site, key, workspace in _references(document):
            if workspace not in known:
                text = f"{workspace} is no workspace"
                yield document.finding(text, section, name, key)
            elif site and owners.get(workspace, "") not in ("", site):
                text = f"{workspace} belongs to site {owners[workspace]}"
                yield document.finding(text, section, name, key)


def _references(document: TypedDocument) -> Iterator[tuple[str, str, str, str, str]]:
    for name, caller in document.body.callers.items():
        yield "callers", name, caller.site, "workspace", caller.workspace
    for section in ("deployments", "services"):
        for name, entry in getattr(document.body, section).items():
            for workspace in entry.workspaces:
                yield section, name, entry.site, "workspaces", workspace


def _replica_faults(documents: Sequence[TypedDocument]) -> Iterator[Finding]:
    for document in documents:
        for name, deployment in document.body.deployments.items():
            if _has_inverted_bounds(deployment):
                text = f"is above max_replicas, {deployment.max_replicas}"
                yield document.finding(text, "deployments", name, "min_replicas")


def _has_inverted_bounds(deployment: Deployment) -> bool:
    return deployment.min_replicas > deployment.max_replicas


def _key_faults(documents: Sequence[TypedDocument]) -> Iterator[Finding]:
    """Yield keys that two entries share.

    An overlay's entry replaces the base's entry of the same name, so the replaced
    entry's key isn't checked.
    """
    holders: dict[str, tuple[str, str]] = {}
    replaced = {
        (section, name)
        for document in documents[1:]
        for section in ("callers", "operators")
        for name in document.names[section]
    }
    for document in documents:
        for section, name, key_hash in _keys(document):
            if document is documents[0] and (section, name) in replaced:
                continue
            holder = holders.setdefault(key_hash, (section, name))
            if holder != (section, name):
                text = f"has the same key as {key_path(holder)}"
                yield document.finding(text, section, name)


def _keys(document: TypedDocument) -> Iterator[tuple[str, str, str]]:
    if isinstance(document.body, BaseDocument):
        for number, key_hash in enumerate(document.body.upstream_keys):
            yield "upstream_keys", str(number), key_hash
    for section in ("callers", "operators"):
        for name, entry in getattr(document.body, section).items():
            yield section, name, entry.key_sha256
