"""Configuration documents of the demo and the measurements."""

from demo.launcher import UPSTREAM_KEY, key_hash

__all__ = [
    "CALLER_KEY",
    "CALLER_KEYS",
    "OPERATOR_KEY",
    "base_document",
    "overlay_document",
    "shared_document",
]

CALLER_KEY = "demo-caller-key"
OPERATOR_KEY = "demo-operator-key"
# Caller keys by workspace.
CALLER_KEYS = {
    "planners": "demo-planners-key",
    "venue-desks": "demo-venue-desks-key",
    "reviews": "demo-reviews-key",
    "agents": "demo-agents-key",
}
_LIMITS = {"entry_hosts_seconds": 1.0}


def base_document() -> dict:
    """Return a base document with a single deployment, for measurements."""
    return {
        **shared_document(),
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


def shared_document() -> dict:
    """Return the base document shared by both partners."""
    return {
        **_shared(),
        "sites": {
            "kitahara": {"regions": ["dosanko"]},
            "bantayog": {"regions": ["ncr"]},
        },
    }


def overlay_document(site: str) -> dict:
    """Return the overlay document of a partner's site."""
    return {"kitahara": _kitahara, "bantayog": _bantayog}[site]()


def _shared() -> dict:
    return {
        "limits": _LIMITS,
        "operators": {
            "root": {"key_sha256": key_hash(OPERATOR_KEY), "may_change_base": True},
            "kitahara-ops": {
                "key_sha256": key_hash(f"{OPERATOR_KEY}-kitahara"),
                "site": "kitahara",
            },
            "bantayog-ops": {
                "key_sha256": key_hash(f"{OPERATOR_KEY}-bantayog"),
                "site": "bantayog",
            },
        },
        "upstream_keys": [key_hash(UPSTREAM_KEY)],
    }


def _callers(*workspaces: str) -> dict:
    return {
        workspace: {
            "workspace": workspace,
            "key_sha256": key_hash(CALLER_KEYS[workspace]),
        }
        for workspace in workspaces
    }


def _kitahara() -> dict:
    return {
        "site": "kitahara",
        "workspaces": {"planners": {"weight": 3.0}, "venue-desks": {}},
        "callers": _callers("planners", "venue-desks"),
        "deployments": {
            "zaseki-model": {
                "model": "zaseki-7b",
                "version": "1",
                "workspaces": ["planners", "venue-desks"],
                "priority": "interactive",
                "cost_weight": 0.2,
                "min_replicas": 3,
                "max_replicas": 4,
                "zones": ["sapporo-hall", "asahikawa-hall", "hakodate-hall"],
                "machine": "a1",
            }
        },
    }


def _bantayog() -> dict:
    return {
        "site": "bantayog",
        "workspaces": {"reviews": {}, "agents": {"weight": 2.0}},
        "callers": _callers("reviews", "agents"),
        "deployments": {
            "pepperstep-pool": {
                "model": "annuity-13b",
                "version": "2",
                "workspaces": ["reviews", "agents"],
                "priority": "batch",
                "cost_weight": 0.8,
                "min_replicas": 3,
                "max_replicas": 4,
                "zones": ["makati-a", "pasig-b", "taguig-c"],
                "machine": "a1",
            }
        },
        "services": {"quote-api": {"workspaces": ["agents"], "is_repeatable": False}},
    }
