"""Schema of the configuration documents.

Instances are validated on construction and immutable.
"""

from dataclasses import field
from functools import cached_property
from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from pepperstep.entities import ModelKey

__all__ = [
    "BASE",
    "SECTIONS",
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

# Name of the base document; an overlay has the name of its site.
BASE = "base"

# Tables of named entries that the base and overlays may contain.
SECTIONS = ("operators", "workspaces", "callers", "deployments", "services")

_STRICT = ConfigDict(extra="forbid", allow_inf_nan=False)
_MAX_NUMBER = 1_000_000_000

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
# Site that owns an entry of the base, "" for an entry shared by all sites.
OwnerSite = Annotated[str, Field(pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?$")]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Flag = Annotated[bool, Field(strict=True)]
Positive = Annotated[int, Field(gt=0, le=_MAX_NUMBER, strict=True)]
PositiveNumber = Annotated[float, Field(gt=0, le=_MAX_NUMBER, strict=True)]
PositiveSeconds = PositiveNumber
Share = Annotated[float, Field(ge=0, le=1, strict=True)]


@dataclass(frozen=True, config=_STRICT)
class Limits:
    """Limits that apply to each entry host."""

    max_connections: Positive = 2000
    max_header_bytes: Positive = 16 * 1024
    max_body_bytes: Positive = 4 * 1024 * 1024
    max_prompt_tokens: Positive = 32_768
    max_answer_tokens: Positive = 16_384
    # Maximum length of a workspace's queue.
    max_queue: Positive = 256
    # Maximum extra load by retries, as a share of first attempts.
    retry_share: Share = 0.1
    default_deadline_seconds: PositiveSeconds = 300.0
    # Time for which a request continues after its caller's connection broke.
    resume_grace_seconds: PositiveSeconds = 10.0
    # Time for which an outcome is kept for repeated requests and late readers.
    outcome_seconds: PositiveSeconds = 600.0
    # Time for which a claim is kept; it must be longer than `outcome_seconds` and
    # `default_deadline_seconds`, or a repeated request could run again.
    claim_seconds: PositiveSeconds = 86_400.0
    # Time to live of the list of entry hosts that callers cache.
    entry_hosts_seconds: PositiveSeconds = 10.0


@dataclass(frozen=True, config=_STRICT)
class SiteSettings:
    """A partner's site and the regions of its hosts."""

    regions: tuple[Name, ...]


@dataclass(frozen=True, config=_STRICT)
class Workspace:
    """Share and limits of one workspace."""

    # Weight in the fair queue.
    weight: PositiveNumber = 1.0
    max_in_flight: Positive = 1000
    site: OwnerSite = ""


@dataclass(frozen=True, config=_STRICT)
class Caller:
    """A caller's key, as SHA-256 in hexadecimal, and its workspace."""

    workspace: Name
    key_sha256: KeyHash
    site: OwnerSite = ""


@dataclass(frozen=True, config=_STRICT)
class Operator:
    """An operator's key, as SHA-256 in hexadecimal."""

    key_sha256: KeyHash
    # Whether the operator may change the base document.
    may_change_base: Flag = False
    # Site whose overlay the operator may change.
    site: OwnerSite = ""


@dataclass(frozen=True, config=_STRICT)
class Deployment:
    """A model, adapter and version served to some workspaces."""

    model: Name
    workspaces: tuple[Name, ...]
    adapter: str = ""
    version: str = ""
    priority: Literal["interactive", "standard", "batch"] = "standard"
    # Latency targets for the 95th percentile.
    first_token_seconds: PositiveSeconds = 0.54
    between_tokens_seconds: PositiveSeconds = 0.053
    # Weight of cost against latency: 0 considers only latency, 1 only cost.
    cost_weight: Share = 0.5
    min_replicas: Positive = 1
    max_replicas: Positive = 12
    zones: tuple[Name, ...] = ()
    machine: str = ""
    # Whether the engines refuse an order with an outdated fencing token.
    checks_fencing: Flag = True
    site: OwnerSite = ""

    @property
    def model_key(self) -> ModelKey:
        """Key of the model that the deployment's engines must have loaded."""
        return ModelKey(self.model, self.adapter, self.version)


@dataclass(frozen=True, config=_STRICT)
class Service:
    """A plain service, other than a model engine."""

    workspaces: tuple[Name, ...]
    # Whether calls are idempotent and may run more than once.
    is_repeatable: Flag = False
    timeout_seconds: PositiveSeconds = 30.0
    site: OwnerSite = ""


@dataclass(frozen=True, config=_STRICT)
class BaseDocument:
    """The base document, shared by all sites."""

    sites: dict[Name, SiteSettings]
    limits: Limits = field(default_factory=Limits)
    operators: dict[Name, Operator] = field(default_factory=dict)
    # Hashes of the keys with which upstreams authenticate their announcements.
    upstream_keys: tuple[KeyHash, ...] = ()
    workspaces: dict[Name, Workspace] = field(default_factory=dict)
    callers: dict[Name, Caller] = field(default_factory=dict)
    deployments: dict[Name, Deployment] = field(default_factory=dict)
    services: dict[Name, Service] = field(default_factory=dict)


@dataclass(frozen=True, config=_STRICT)
class OverlayDocument:
    """A site's overlay, which adds entries or overrides values of the base."""

    site: Name
    operators: dict[Name, Operator] = field(default_factory=dict)
    workspaces: dict[Name, Workspace] = field(default_factory=dict)
    callers: dict[Name, Caller] = field(default_factory=dict)
    deployments: dict[Name, Deployment] = field(default_factory=dict)
    services: dict[Name, Service] = field(default_factory=dict)


@dataclass(frozen=True, config=_STRICT)
class Configuration:
    """The merged documents."""

    revision: int = 0
    sites: dict[Name, SiteSettings] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    operators: dict[Name, Operator] = field(default_factory=dict)
    # Site of each operator, "" for operators of the base.
    operator_sites: dict[Name, str] = field(default_factory=dict)
    upstream_keys: tuple[KeyHash, ...] = ()
    workspaces: dict[Name, Workspace] = field(default_factory=dict)
    callers: dict[Name, Caller] = field(default_factory=dict)
    deployments: dict[Name, Deployment] = field(default_factory=dict)
    services: dict[Name, Service] = field(default_factory=dict)

    @cached_property
    def callers_by_key(self) -> dict[str, str]:
        """Names of the callers by the hash of their key."""
        return {caller.key_sha256: name for name, caller in self.callers.items()}

    @cached_property
    def operators_by_key(self) -> dict[str, str]:
        """Names of the operators by the hash of their key."""
        return {entry.key_sha256: name for name, entry in self.operators.items()}
