"""Settings of a daemon, read from a TOML file and validated as a whole."""

import ssl
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, field, fields
from pathlib import Path
from typing import Annotated, Any, Literal, get_type_hints

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from pepperstep.configuration import BASE, merge, parse
from pepperstep.configuration.paths import key_path
from pepperstep.entities import Host
from pepperstep.errors import Finding, InvalidDocument

__all__ = [
    "CloudSettings",
    "ControlSettings",
    "DocumentSettings",
    "HostSettings",
    "RequestSettings",
    "Seed",
    "Settings",
    "TlsSettings",
    "read_settings",
]

_STRICT = ConfigDict(extra="forbid", allow_inf_nan=False)
_MAX_PORT = 65_535
_FAULT_TEXTS = {
    "missing": "is missing",
    "unexpected_keyword_argument": "is not a known key",
    "dataclass_type": "must be a table",
    "tuple_type": "must be an array",
}

Address = Annotated[str, Field(pattern=r"^[A-Za-z0-9.-]{1,253}:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Url = Annotated[str, Field(pattern=r"^(https?://[^\s/]+)?$")]
Key = Annotated[str, Field(pattern=r"^[\x21-\x7e]*$")]
File = Annotated[str, Field(pattern=r"^[^\x00]*$")]
Flag = Annotated[bool, Field(strict=True)]
PositiveSeconds = Annotated[float, Field(gt=0, le=86_400, strict=True)]


@dataclass(frozen=True, config=_STRICT)
class HostSettings:
    """Identity and listen addresses of this host."""

    name: Name
    zone: Name
    region: Name
    site: Name
    peer_address: Address
    caller_address: Address
    # Base URL for callers and upstreams, derived from `caller_address` if empty.
    caller_url: Url = ""
    roles: tuple[Literal["entry", "control"], ...] = ("entry",)


@dataclass(frozen=True, config=_STRICT)
class Seed:
    """Another host through which this one joins the cluster."""

    name: Name
    peer_address: Address


@dataclass(frozen=True, config=_STRICT)
class ControlSettings:
    """Settings of the replicated log.

    `voters` are the control hosts at its first start, and the ones that entry hosts
    contact. Only control hosts need a `data_folder`.
    """

    voters: tuple[Name, ...] = ()
    data_folder: File = ""


@dataclass(frozen=True, config=_STRICT)
class TlsSettings:
    """PEM files; an empty path disables the TLS connections that need it."""

    caller_certificate: File = ""
    caller_key: File = ""
    peer_certificate: File = ""
    peer_key: File = ""
    peer_authority: File = ""
    upstream_authority: File = ""


@dataclass(frozen=True, config=_STRICT)
class DocumentSettings:
    """Initial configuration documents, used at the control hosts' first start."""

    base: File = ""
    overlays: tuple[File, ...] = ()


@dataclass(frozen=True, config=_STRICT)
class RequestSettings:
    """Handling of requests on this host."""

    # Whether this is the only host, so that its requests have no second host.
    is_single: Flag = False
    # Time limit of a drain, after which running requests are handed over.
    drain_seconds: PositiveSeconds = 60.0


@dataclass(frozen=True, config=_STRICT)
class CloudSettings:
    """URLs of the cloud API and the weight store, empty for none."""

    cloud_url: Url = ""
    weight_store_url: Url = ""


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
    # API key that this host sends to upstreams.
    upstream_key: Key = ""

    def to_host(self) -> Host:
        """Return the description of this host that other hosts see."""
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

    Raise `InvalidDocument` with all findings, including those in the documents and
    certificates that the settings refer to, and OSError if the file can't be read.
    """
    file = str(path)
    table = parse(path.read_bytes(), "settings", file).table
    values, findings = _validate_sections(file, table)
    findings += [
        Finding(file, key_path(keys), text) for keys, text in _semantic_faults(values)
    ]
    documents = values.get("documents")
    if documents is not None:
        findings += _check_documents(file, documents)
    if findings:
        raise InvalidDocument(findings)
    return Settings(**values)


def _validate_sections(
    file: str, table: Mapping[str, Any]
) -> tuple[dict[str, Any], list[Finding]]:
    """Return the valid sections by name, and the findings in the others."""
    types = get_type_hints(Settings, include_extras=True)
    values: dict[str, Any] = {}
    findings = [
        Finding(file, key_path([name]), "is not a known key")
        for name in table
        if name not in types
    ]
    for section in fields(Settings):
        if section.name not in table:
            if section.default is MISSING and section.default_factory is MISSING:
                findings.append(Finding(file, section.name, "is missing"))
            continue
        adapter = TypeAdapter(types[section.name])
        try:
            values[section.name] = adapter.validate_python(table[section.name])
        except ValidationError as error:
            findings += _to_findings(file, section.name, error)
    return values, findings


def _to_findings(file: str, section: str, error: ValidationError) -> list[Finding]:
    return [
        Finding(
            file,
            key_path([section, *fault["loc"]]),
            _FAULT_TEXTS.get(fault["type"], fault["msg"]),
        )
        for fault in error.errors(include_url=False, include_input=False)
    ]


def _semantic_faults(values: Mapping[str, Any]) -> Iterator[tuple[tuple, str]]:
    """Yield key path and text of faults beyond the types and forms of values."""
    host: HostSettings | None = values.get("host")
    seeds: tuple[Seed, ...] = values.get("seeds", ())
    control: ControlSettings = values.get("control", ControlSettings())
    if host is not None:
        yield from _host_faults(host)
        yield from _control_faults(host, seeds, control)
    yield from _seed_faults(host, seeds)
    if "tls" in values:
        yield from _tls_faults(values["tls"])


def _host_faults(host: HostSettings) -> Iterator[tuple[tuple, str]]:
    if not host.roles:
        yield ("host", "roles"), "must hold entry, control or both"
    for key in ("peer_address", "caller_address"):
        if not _has_valid_port(getattr(host, key)):
            yield ("host", key), f"the port must be from 1 to {_MAX_PORT}"
    if host.peer_address == host.caller_address:
        yield ("host", "caller_address"), "is the address for peers"


def _control_faults(
    host: HostSettings, seeds: tuple[Seed, ...], control: ControlSettings
) -> Iterator[tuple[tuple, str]]:
    is_control = "control" in host.roles
    if is_control and not control.data_folder:
        yield ("control", "data_folder"), "is missing, and a control host needs it"
    if control.data_folder and Path(control.data_folder).is_file():
        yield ("control", "data_folder"), "is a file"
    if not control.voters:
        yield ("control", "voters"), "is missing; it names the control hosts"
    known = {host.name, *(seed.name for seed in seeds)}
    for index, voter in enumerate(control.voters):
        if voter not in known:
            yield ("control", "voters", index), f"{voter} is not among the seeds"
        if voter in control.voters[:index]:
            yield ("control", "voters", index), f"{voter} stands twice"


def _seed_faults(
    host: HostSettings | None, seeds: tuple[Seed, ...]
) -> Iterator[tuple[tuple, str]]:
    for index, seed in enumerate(seeds):
        earlier = seeds[:index]
        if host is not None and seed.name == host.name:
            yield ("seeds", index, "name"), "is this host itself"
        if seed.name in {other.name for other in earlier}:
            yield ("seeds", index, "name"), f"{seed.name} stands twice"
        if seed.peer_address in {other.peer_address for other in earlier}:
            yield ("seeds", index, "peer_address"), f"{seed.peer_address} stands twice"
        if not _has_valid_port(seed.peer_address):
            text = f"the port must be from 1 to {_MAX_PORT}"
            yield ("seeds", index, "peer_address"), text


def _tls_faults(tls: TlsSettings) -> Iterator[tuple[tuple, str]]:
    for keys in (
        ("caller_certificate", "caller_key"),
        ("peer_certificate", "peer_key", "peer_authority"),
    ):
        missing = [key for key in keys if not getattr(tls, key)]
        if missing and len(missing) < len(keys):
            for key in missing:
                yield ("tls", key), f"is missing beside {', '.join(keys)}"
            continue
        if not missing:
            yield from _certificate_faults(tls, keys[0], keys[1])
    for key in ("peer_authority", "upstream_authority"):
        path = getattr(tls, key)
        if path:
            yield from _authority_faults(key, path)


def _certificate_faults(
    tls: TlsSettings, certificate: str, key: str
) -> Iterator[tuple[tuple, str]]:
    unreadable = [name for name in (certificate, key) if not _is_file(tls, name)]
    for name in unreadable:
        yield ("tls", name), f"there is no file {getattr(tls, name)}"
    if unreadable:
        return
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(getattr(tls, certificate), getattr(tls, key))
    except (OSError, ssl.SSLError) as error:
        yield ("tls", certificate), f"can't be used with {key}: {error}"


def _authority_faults(key: str, path: str) -> Iterator[tuple[tuple, str]]:
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(path)
    except (OSError, ssl.SSLError) as error:
        yield ("tls", key), f"{path} can't be used: {error}"


def _check_documents(file: str, documents: DocumentSettings) -> list[Finding]:
    """Return the findings in the initial configuration documents."""
    if not documents.base:
        if not documents.overlays:
            return []
        return [Finding(file, "documents.base", "is missing beside the overlays")]
    try:
        base = parse(Path(documents.base).read_bytes(), BASE, documents.base)
        overlays = [
            parse(text, parse(text, path).table.get("site", ""), path)
            for path in documents.overlays
            for text in [Path(path).read_bytes()]
        ]
        merge(base, overlays)
    except OSError as error:
        return [Finding(file, "documents", f"{error.filename}: {error.strerror}")]
    except InvalidDocument as error:
        return error.findings
    return []


def _has_valid_port(address: str) -> bool:
    return 1 <= int(address.rpartition(":")[2]) <= _MAX_PORT


def _is_file(tls: TlsSettings, key: str) -> bool:
    return Path(getattr(tls, key)).is_file()
