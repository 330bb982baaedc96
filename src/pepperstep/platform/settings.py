"""Decoder of the platform's settings file into the daemon's settings.

The file is a JSON object with the platform's fields, as requested by the template in
`deploy`. Unknown fields are ignored.
"""

import math
from collections.abc import Iterator
from pathlib import Path

import msgspec

from pepperstep.errors import Finding, InvalidDocument
from pepperstep.platform import names
from pepperstep.programs.relay_settings import (
    ControlRole,
    EntryRole,
    RelayBounds,
    RelaySettings,
)
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["SETTINGS_VARIABLE", "read_platform_settings"]

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "PEPPERSTEP_SETTINGS"

# Fields of the limits whose product is the host's processor capacity in cores: a share
# of a core's time, and the core's speed relative to a reference core. The platform's
# name of the second one suggests a number of cores, which it isn't.
_CAPACITY_FACTORS = ("cpu_share", "cpu_cores")


class _Listen(msgspec.Struct):
    """Listening addresses (host:port), None for services that aren't offered."""

    # Callers' requests.
    frontend: str | None = None
    # Readiness probes.
    readiness: str | None = None
    # Operators and upstreams.
    control: str | None = None
    # Directory queries of callers.
    directory: str | None = None


class _Bounds(msgspec.Struct):
    """Bounds of the deployment; the suffixes of the names are their units."""

    ack_ms: float = 5000
    expose_share: float = 0.1
    expose_slack: float = 50
    drain_ms: float = 2000
    grace_s: float = 8
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    quota_window_s: float = 8
    quota_overage: float = 0.1
    quota_slack: float = 0
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10
    # Longest time for which callers may cache addresses.
    ttl_max_s: float = 5


class _Tolerance(msgspec.Struct):
    """Tolerated simultaneous losses."""

    machines: int = 1


class _Cloud(msgspec.Struct):
    """The platform's own API."""

    address: str = ""
    duties: list[str] = msgspec.field(default_factory=list)


class _Scheduling(msgspec.Struct, forbid_unknown_fields=True):
    """Operators' own limits of the scheduling, None for the defaults."""

    is_enabled: bool = True
    queue_share: float | None = None
    plain_queue_share: float | None = None
    min_pressure: float | None = None
    full_pressure: float | None = None
    rank_limits: list[float] | None = None
    waited_bonus: float | None = None
    return_share: float | None = None

    def limits(self) -> dict[str, object]:
        """Return the limits that are set, by the name of the setting."""
        limits = msgspec.structs.asdict(self)
        del limits["is_enabled"]
        if limits["rank_limits"] is not None:
            limits["rank_limits"] = tuple(limits["rank_limits"])
        return {name: value for name, value in limits.items() if value is not None}


class _File(msgspec.Struct):
    """The settings file."""

    node_name: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    # First and last port for connections between hosts.
    internal_ports: list[int]
    # Control addresses of some control hosts.
    seed_nodes: list[str] = msgspec.field(default_factory=list)
    # Regions by zone.
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    # Whether the whole system is started for the first time.
    bootstrap: bool = False
    data_dir: str | None = None
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud: _Cloud | None = None
    # Names of the rules in force.
    contracts: list[str] = msgspec.field(default_factory=list)
    # Added by operators to the file's template.
    scheduling: _Scheduling | None = None
    # The host's resources. Of any type, as the host also works without them.
    limits: object = None


def read_platform_settings(path: Path) -> RelaySettings:
    """Read the settings from the file at `path`.

    Raise `InvalidDocument` with all findings, or OSError if it can't be read.
    """
    try:
        file = msgspec.json.decode(path.read_bytes(), type=_File)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidDocument([_finding(path, error)]) from error
    findings = _check(path, file)
    if findings:
        raise InvalidDocument(findings)
    return _settings_of(file)


def _finding(path: Path, error: Exception) -> Finding:
    text, _, place = str(error).partition(" - at `$")
    return Finding(str(path), place.strip("`. ") or "file", text)


def _check(path: Path, file: _File) -> list[Finding]:
    listen = file.listen
    findings = []
    if not file.internal_ports:
        findings.append(Finding(str(path), "internal_ports", "is empty"))
    if not any((listen.frontend, listen.control, listen.directory)):
        findings.append(Finding(str(path), "listen", "names no address"))
    if listen.control and not file.data_dir:
        text = "is missing, and a control host needs it"
        findings.append(Finding(str(path), "data_dir", text))
    if not file.seed_nodes:
        findings.append(Finding(str(path), "seed_nodes", "is empty"))
    addresses = [listen.frontend, listen.readiness, listen.control, listen.directory]
    for address in filter(None, [*addresses, *file.seed_nodes]):
        if not address.rpartition(":")[2].isdigit():
            findings.append(Finding(str(path), "listen", f"{address} has no port"))
    for text in _find_scheduling_errors(file.scheduling):
        findings.append(Finding(str(path), "scheduling", text))
    for text in _find_capacity_errors(file.limits):
        findings.append(Finding(str(path), "limits", text))
    return findings


def _find_capacity_errors(limits: object) -> Iterator[str]:
    """Yield the errors in the host's processor capacity."""
    for name, factor in zip(_CAPACITY_FACTORS, _capacity_factors(limits), strict=True):
        if factor is not None and not 0 <= factor < math.inf:
            yield f"{name} must be finite and at least 0"
    if _capacity_of(limits) == math.inf:
        yield f"{' times '.join(_CAPACITY_FACTORS)} must be finite"


def _find_scheduling_errors(scheduling: _Scheduling | None) -> Iterator[str]:
    """Yield the errors in operators' limits of the scheduling."""
    if scheduling is None:
        return
    limits = scheduling.limits()
    for name, value in limits.items():
        numbers = value if isinstance(value, tuple) else (value,)
        if not numbers or not all(0 <= number < math.inf for number in numbers):
            yield f"{name} must be finite and at least 0"
    settings = SchedulingSettings(**limits)
    if settings.return_share <= 0:
        yield "return_share must be above 0, as refused callers return by it"
    if settings.min_pressure >= settings.full_pressure:
        yield "min_pressure must be below full_pressure"
    ordered = tuple(sorted(settings.rank_limits, reverse=True))
    if settings.rank_limits != ordered:
        yield "rank_limits must not increase, as the most urgent rank comes first"


def _settings_of(file: _File) -> RelaySettings:
    port = file.internal_ports[0]
    listen = file.listen
    entry = control = None
    if listen.frontend:
        entry = EntryRole(
            caller_address=listen.frontend,
            readiness_address=listen.readiness or "",
            directory_address=listen.directory or "",
            forward_address=_forward_address_of(file),
        )
    if listen.control:
        control = ControlRole(
            operator_address=listen.control,
            directory_address=listen.directory or "",
            data_folder=file.data_dir,
            forms_group=file.bootstrap,
            tolerated_losses=max(1, file.fault_tolerance.machines),
        )
    seeds = [f"{seed.rpartition(':')[0]}:{port}" for seed in file.seed_nodes]
    return RelaySettings(
        host=file.node_name,
        zone=file.zone,
        region=file.region,
        peer_address=f"{file.ip}:{port}",
        seeds=tuple(dict.fromkeys(seeds)),
        zones=tuple(sorted(file.zones)),
        entry=entry,
        control=control,
        cloud_address=file.cloud.address if file.cloud else "",
        bounds=_bounds_of(file.bounds),
        scheduling=_scheduling_of(file),
        capacity=_capacity_of(file.limits),
    )


def _forward_address_of(file: _File) -> str:
    """Return the address after the one for peers, "" if there's only one port."""
    first, last = file.internal_ports[0], file.internal_ports[-1]
    return f"{file.ip}:{first + 1}" if last > first else ""


def _capacity_of(limits: object) -> float:
    """Return the host's processor capacity in cores, 0 if the limits don't state it."""
    factors = _capacity_factors(limits)
    return 0.0 if None in factors else math.prod(factors)


def _capacity_factors(limits: object) -> list[float | None]:
    """Return the factors of the processor capacity, None for those without a number."""
    known = limits if isinstance(limits, dict) else {}
    return [_float_or_none(known.get(name)) for name in _CAPACITY_FACTORS]


def _float_or_none(value: object) -> float | None:
    """Return a number as a float, infinite if too large, and None for other types."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        return float(value)
    except OverflowError:
        return math.inf if value > 0 else -math.inf


def _scheduling_of(file: _File) -> SchedulingSettings | None:
    """Return the scheduling's limits, None where hosts decide by themselves.

    Where entry hosts share upstreams that have fewer slots than there are hosts, a host
    sees too few of their requests to judge their load.
    """
    if file.scheduling is None:
        is_shared = names.CONTRACT_POOL in file.contracts
        return SchedulingSettings() if is_shared else None
    if not file.scheduling.is_enabled:
        return None
    return SchedulingSettings(**file.scheduling.limits())


def _bounds_of(bounds: _Bounds) -> RelayBounds:
    return RelayBounds(
        drain_seconds=bounds.drain_ms / 1000,
        grace_seconds=bounds.grace_s,
        in_force_seconds=bounds.config_apply_ms / 1000,
        order_seconds=bounds.ack_ms / 1000,
        expose_share=bounds.expose_share,
        expose_allowance=bounds.expose_slack,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window=bounds.retry_window_s,
        retry_allowance=bounds.retry_slack,
        quota_window=bounds.quota_window_s,
        quota_overage=bounds.quota_overage,
        quota_allowance=bounds.quota_slack,
        duty_lease=bounds.lease_ms / 1000,
        usage_window=bounds.usage_window_s,
        usage_late=bounds.usage_late_s,
        directory_seconds=bounds.ttl_max_s,
    )
