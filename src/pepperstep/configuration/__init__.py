"""Replicated configuration: one base document and an overlay for each site."""

from pepperstep.configuration.changes import (
    Change,
    ChangeAnswer,
    ChangeStatus,
    Winner,
)
from pepperstep.configuration.distribution import ConfigurationStore
from pepperstep.configuration.documents import Document, merge, parse
from pepperstep.configuration.keys import (
    find_caller,
    find_operator,
    hash_key,
    is_upstream_key,
    may_change,
)
from pepperstep.configuration.machine import ConfigurationMachine
from pepperstep.configuration.origins import Origin, origins
from pepperstep.configuration.peer_selector import StoreSettings
from pepperstep.configuration.schema import (
    BASE,
    BaseDocument,
    Caller,
    Configuration,
    Deployment,
    Limits,
    Operator,
    OverlayDocument,
    Service,
    SiteSettings,
    Workspace,
)

__all__ = [
    "BASE",
    "BaseDocument",
    "Caller",
    "Change",
    "ChangeAnswer",
    "ChangeStatus",
    "Configuration",
    "ConfigurationMachine",
    "ConfigurationStore",
    "Deployment",
    "Document",
    "Limits",
    "Operator",
    "Origin",
    "OverlayDocument",
    "Service",
    "SiteSettings",
    "StoreSettings",
    "Winner",
    "Workspace",
    "find_caller",
    "find_operator",
    "hash_key",
    "is_upstream_key",
    "may_change",
    "merge",
    "origins",
    "parse",
]
