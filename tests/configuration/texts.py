"""Documents and changes shared by the configuration tests."""

from pepperstep.configuration import Change, hash_key

ROOT, SAPPORO, MANILA = (hash_key(name) for name in ("root", "sapporo", "manila"))

BASE_TEXT = f"""
upstream_keys = ["{hash_key("engine")}"]
[sites.kitahara]
regions = ["dosanko"]
[sites.bantayog]
regions = ["ncr"]
[operators.root]
key_sha256 = "{ROOT}"
may_change_base = true
[operators.sapporo]
key_sha256 = "{SAPPORO}"
site = "kitahara"
[operators.manila]
key_sha256 = "{MANILA}"
site = "bantayog"
[workspaces.shared]
[workspaces.halls]
site = "kitahara"
weight = 2.0
[deployments.zaseki]
site = "kitahara"
model = "zaseki-model"
workspaces = ["halls"]
max_replicas = 6
"""

KITAHARA = f"""
site = "kitahara"
[deployments.zaseki]
max_replicas = 9
[workspaces.desks]
[callers.desk]
workspace = "desks"
key_sha256 = "{hash_key("desk")}"
"""

BANTAYOG = """
site = "bantayog"
[workspaces.quotes]
[services.quote-api]
workspaces = ["quotes", "shared"]
"""


def change(document: str, text: str, from_revision: int, **fields: str) -> Change:
    """Return a change by the operator of the document."""
    operator, site = {
        "base": ("root", ""),
        "kitahara": ("sapporo", "kitahara"),
        "bantayog": ("manila", "bantayog"),
    }[document]
    values = {
        "change_id": f"{document}-{from_revision}",
        "operator": operator,
        "site": site,
        **fields,
    }
    return Change(document=document, text=text, from_revision=from_revision, **values)
