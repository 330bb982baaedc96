"""Checks over all documents together: owners, references, keys and bounds.

An entry belongs to the site of its overlay, or to the site that the base names
in it; without one it belongs to the base. A site's entries refer to their own
site's and the base's names only, so that no partner reaches into another's.
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

__all__ = ["Part", "find_faults"]


@dataclass(frozen=True, slots=True, eq=False)
class Part:
    """One document, typed, with the names that it has in each section.

    The names include those of entries that are faulty and not in `body`.
    """

    name: str
    file: str
    body: BaseDocument | OverlayDocument | None
    names: Mapping[str, frozenset[str]]

    def finding(self, text: str, *keys: str) -> Finding:
        """Return a finding at the path of `keys`."""
        return Finding(self.file, key_path(keys), text)


def find_faults(parts: Sequence[Part]) -> list[Finding]:
    """Return all that is wrong between valid documents, the base first."""
    base, *overlays = parts
    return [
        *_site_faults(base, overlays),
        *_limit_faults(base),
        *_owner_faults(base, overlays),
        *_reference_faults(parts),
        *_replica_faults(parts),
        *_key_faults(parts),
    ]


def _site_faults(base: Part, overlays: Sequence[Part]) -> Iterator[Finding]:
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
    for part in overlays:
        site = part.body.site
        if site != part.name:
            yield part.finding(f"must be {part.name}, not {site}", "site")
        if part.name not in sites:
            yield part.finding(f"{part.name} is no site of the base", "site")
        if part.name in seen:
            yield part.finding(f"{part.name} has another overlay", "site")
        seen.add(part.name)


def _limit_faults(base: Part) -> Iterator[Finding]:
    limits: Limits = base.body.limits
    for name in ("outcome_seconds", "default_deadline_seconds"):
        if getattr(limits, name) >= limits.claim_seconds:
            text = f"must be longer than {name}, or a repeat could run again"
            yield base.finding(text, "limits", "claim_seconds")


def _owner_faults(base: Part, overlays: Sequence[Part]) -> Iterator[Finding]:
    for section in SECTIONS:
        entries = getattr(base.body, section)
        # Whose a faulty entry is can't be told.
        unknown = base.names[section] - entries.keys()
        owners = {name: entry.site or BASE for name, entry in entries.items()}
        for part in overlays:
            for name in sorted(part.names[section] - unknown):
                owner = owners.setdefault(name, part.name)
                if owner != part.name:
                    yield part.finding(_owner_text(owner), section, name)
            yield from _overlay_entry_faults(part, section, owners)


def _owner_text(owner: str) -> str:
    if owner == BASE:
        return "belongs to the base, which names no site for it"
    return f"belongs to site {owner}"


def _overlay_entry_faults(
    part: Part, section: str, owners: Mapping[str, str]
) -> Iterator[Finding]:
    for name, entry in getattr(part.body, section).items():
        if entry.site != part.name and owners.get(name) == part.name:
            yield part.finding(f"must be {part.name}", section, name, "site")
        if section == "operators" and entry.may_change_base:
            text = "can be set in the base only"
            yield part.finding(text, section, name, "may_change_base")


def _reference_faults(parts: Sequence[Part]) -> Iterator[Finding]:
    known = frozenset().union(*(part.names["workspaces"] for part in parts))
    owners: dict[str, str] = {}
    for part in parts:
        for name, entry in part.body.workspaces.items():
            owners.setdefault(name, entry.site)
    for part in parts:
        for section, name, site, key, workspace in _references(part):
            if workspace not in known:
                text = f"{workspace} is no workspace"
                yield part.finding(text, section, name, key)
            elif site and owners.get(workspace, "") not in ("", site):
                text = f"{workspace} belongs to site {owners[workspace]}"
                yield part.finding(text, section, name, key)


def _references(part: Part) -> Iterator[tuple[str, str, str, str, str]]:
    for name, caller in part.body.callers.items():
        yield "callers", name, caller.site, "workspace", caller.workspace
    for section in ("deployments", "services"):
        for name, entry in getattr(part.body, section).items():
            for workspace in entry.workspaces:
                yield section, name, entry.site, "workspaces", workspace


def _replica_faults(parts: Sequence[Part]) -> Iterator[Finding]:
    for part in parts:
        for name, deployment in part.body.deployments.items():
            if _has_crossed_bounds(deployment):
                text = f"is above max_replicas, {deployment.max_replicas}"
                yield part.finding(text, "deployments", name, "min_replicas")


def _has_crossed_bounds(deployment: Deployment) -> bool:
    return deployment.min_replicas > deployment.max_replicas


def _key_faults(parts: Sequence[Part]) -> Iterator[Finding]:
    """Find keys with two uses; an overlay's entry replaces the base's own."""
    holders: dict[str, tuple[str, str]] = {}
    replaced = {
        (section, name)
        for part in parts[1:]
        for section in ("callers", "operators")
        for name in part.names[section]
    }
    for part in parts:
        for section, name, key_hash in _keys(part):
            if part is parts[0] and (section, name) in replaced:
                continue
            holder = holders.setdefault(key_hash, (section, name))
            if holder != (section, name):
                text = f"has the same key as {key_path(holder)}"
                yield part.finding(text, section, name)


def _keys(part: Part) -> Iterator[tuple[str, str, str]]:
    if isinstance(part.body, BaseDocument):
        for number, key_hash in enumerate(part.body.upstream_keys):
            yield "upstream_keys", str(number), key_hash
    for section in ("callers", "operators"):
        for name, entry in getattr(part.body, section).items():
            yield section, name, entry.key_sha256
