"""Agreed configuration: one base document and an overlay for each site."""

from pepperstep.configuration.schema import (
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
    "BaseDocument",
    "Caller",
    "Configuration",
    "Deployment",
    "Limits",
    "Operator",
    "OverlayDocument",
    "Service",
    "SiteSettings",
    "Workspace",
]
