"""The configuration that the demo and the measurements run with."""

from demo.launcher import UPSTREAM_KEY, key_hash

__all__ = ["CALLER_KEY", "OPERATOR_KEY", "base_document"]

CALLER_KEY = "demo-caller-key"
OPERATOR_KEY = "demo-operator-key"


def base_document() -> dict:
    """Return a base document with one deployment."""
    return {
        "sites": {"kitahara": {"regions": ["dosanko"]}},
        "limits": {"entry_hosts_seconds": 1.0},
        "operators": {
            "root": {"key_sha256": key_hash(OPERATOR_KEY), "may_change_base": True}
        },
        "upstream_keys": [key_hash(UPSTREAM_KEY)],
        "workspaces": {"planners": {}},
        "callers": {
            "desk": {"workspace": "planners", "key_sha256": key_hash(CALLER_KEY)}
        },
        "deployments": {
            "zaseki-model": {
                "model": "zaseki-7b",
                "version": "1",
                "workspaces": ["planners"],
            }
        },
    }
