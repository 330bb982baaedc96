"""Settings of one daemon, read from a TOML file and validated whole."""

import tomllib
from dataclasses import field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from pepperstep.entities import Host
from pepperstep.errors import Finding, InvalidDocument

__all__ = ["Settings", "read_settings"]

_STRICT = ConfigDict(extra="forbid")

Address = Annotated[str, Field(pattern=r"^[^:\s]+:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


@dataclass(frozen=True, config=_STRICT)
class HostSettings:
    """Who this host is, and where it listens."""

    name: Name
    zone: Name
    region: Name
    site: Name
    peer_address: Address
    caller_address: Address
    # Base URL that callers and upstreams get; built from the address if empty.
    caller_url: str = ""
    roles: tuple[Literal["entry", "control"], ...] = ("entry",)


@dataclass(frozen=True, config=_STRICT)
class Seed:
    """Another host, by which this one joins."""

    name: Name
    peer_address: Address


@dataclass(frozen=True, config=_STRICT)
class ControlSettings:
    """The replicated log; `voters` are the hosts of its first start."""

    voters: tuple[Name, ...] = ()
    data_folder: str = ""


@dataclass(frozen=True, config=_STRICT)
class TlsSettings:
    """Files in PEM; each may be empty for no TLS."""

    caller_certificate: str = ""
    caller_key: str = ""
    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""
    upstream_authority: str = ""


@dataclass(frozen=True, config=_STRICT)
class DocumentSettings:
    """Documents that the first start of the control hosts begins with."""

    base: str = ""
    overlays: tuple[str, ...] = ()


@dataclass(frozen=True, config=_STRICT)
class RequestSettings:
    """How this host keeps requests."""

    # One host alone, whose requests have no second host.
    is_single: bool = False
    # Time that a drain waits for streams before it hands them over.
    drain_seconds: float = 60.0


@dataclass(frozen=True, config=_STRICT)
class CloudSettings:
    """Where the cloud API and the weight store are; empty for none."""

    cloud_url: str = ""
    weight_store_url: str = ""


@dataclass(frozen=True, config=_STRICT)
class Settings:
    """All settings of a daemon."""

    host: HostSettings
    seeds: tuple[Seed, ...] = ()
    control: ControlSettings = field(default_factory=ControlSettings)
    tls: TlsSettings = field(default_factory=TlsSettings)
    documents: DocumentSettings = field(default_factory=DocumentSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    cloud: CloudSettings = field(default_factory=CloudSettings)
    # Key that this host shows to upstreams.
    upstream_key: str = ""

    def to_host(self) -> Host:
        """Return the host as others know it."""
        scheme = "https" if self.tls.caller_certificate else "http"
        url = self.host.caller_url or f"{scheme}://{self.host.caller_address}"
        return Host(
            name=self.host.name,
            peer_address=self.host.peer_address,
            caller_url=url if "entry" in self.host.roles else "",
            zone=self.host.zone,
            region=self.host.region,
            site=self.host.site,
            is_control="control" in self.host.roles,
        )


def read_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raise `InvalidDocument` with all findings, OSError if it can't be read.
    """
    text = path.read_text()
    try:
        table = tomllib.loads(text)
        settings = TypeAdapter(Settings).validate_python(table)
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocument([Finding(str(path), "", str(error))]) from error
    except ValidationError as error:
        raise InvalidDocument(_findings_of(path, error)) from error
    findings = _check(path, settings)
    if findings:
        raise InvalidDocument(findings)
    return settings


def _findings_of(path: Path, error: ValidationError) -> list[Finding]:
    return [
        Finding(str(path), ".".join(str(part) for part in each["loc"]), each["msg"])
        for each in error.errors()
    ]


def _check(path: Path, settings: Settings) -> list[Finding]:
    """Return the findings that concern more than one value."""
    findings = []
    if "control" in settings.host.roles and not settings.control.data_folder:
        findings.append(
            Finding(str(path), "control.data_folder", "A control host needs it.")
        )
    names = [seed.name for seed in settings.seeds]
    for name in sorted({name for name in names if names.count(name) > 1}):
        findings.append(Finding(str(path), "seeds", f"{name} stands twice."))
    for key, value in vars(settings.tls).items():
        if value and not Path(value).is_file():
            findings.append(Finding(str(path), f"tls.{key}", f"No file {value}."))
    return findings
