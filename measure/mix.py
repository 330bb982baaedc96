"""The load of both partners: who asks for what, how often and how urgently."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pepperstep.entities import ModelKey, Priority, Request, RequestKind

__all__ = [
    "BANTAYOG",
    "KITAHARA",
    "PARTNERS",
    "Arrival",
    "Partner",
    "RequestType",
    "Speed",
    "arrivals",
    "base_document",
]

_CHARACTERS_PER_TOKEN = 4
_SERVICE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Speed:
    """Speed and size of an engine."""

    slots: int = 8
    prefill_seconds: float = 0.0002
    decode_seconds: float = 0.04


@dataclass(frozen=True, slots=True)
class RequestType:
    """One kind of requests; answers are half to one and a half times the mean."""

    name: str
    # Share of the partner's requests.
    share: float
    priority: Priority
    # Seconds from the request to the end of its answer.
    deadline: float
    prompt_tokens: int = 0
    # Tokens at the prompt's start that the requests of a family share.
    shared_tokens: int = 0
    families: int = 1
    answer_tokens: int = 0
    # A call of the partner's plain service.
    is_call: bool = False
    is_repeatable: bool = True

    def work(self, speed: Speed, answer_tokens: float) -> float:
        """Return the seconds that it holds a slot, its family's prefix cached."""
        prefill = (self.prompt_tokens - self.shared_tokens) * speed.prefill_seconds
        return prefill + answer_tokens * speed.decode_seconds


@dataclass(frozen=True, slots=True)
class Partner:
    """A partner's places, upstreams, workspaces and requests."""

    name: str
    region: str
    zones: tuple[str, ...]
    deployment: str
    key: ModelKey
    engines: int
    service: str
    service_is_repeatable: bool
    services: int
    # Share of the partner's requests by workspace.
    workspaces: dict[str, float]
    types: tuple[RequestType, ...]

    @property
    def model_types(self) -> tuple[RequestType, ...]:
        """Requests that engines answer."""
        return tuple(each for each in self.types if not each.is_call)

    def capacity(self, speed: Speed) -> float:
        """Return the requests a second that keep all slots busy."""
        work = sum(
            each.share * each.work(speed, each.answer_tokens)
            for each in self.model_types
        )
        return self.engines * speed.slots / work


KITAHARA = Partner(
    name="kitahara",
    region="dosanko",
    zones=("sapporo-hall", "asahikawa-hall", "hakodate-hall"),
    deployment="zaseki-model",
    key=ModelKey("zaseki-7b", "", "1"),
    engines=6,
    service="venue-desk",
    service_is_repeatable=True,
    services=3,
    workspaces={
        "weddings": 0.40,
        "banquets": 0.35,
        "funerals": 0.10,
        "reunions": 0.08,
        "tours": 0.07,
    },
    types=(
        RequestType("layout", 0.25, Priority.INTERACTIVE, 30.0, 400, 250, 4, 120),
        RequestType("guest-list", 0.20, Priority.STANDARD, 30.0, 1600, 1300, 3, 30),
        RequestType("table-move", 0.35, Priority.INTERACTIVE, 10.0, 200, 125, 4, 12),
        RequestType("chart", 0.20, Priority.STANDARD, 10.0, is_call=True),
    ),
)

BANTAYOG = Partner(
    name="bantayog",
    region="ncr",
    zones=("makati-a", "pasig-b", "taguig-c"),
    deployment="pepperstep-pool",
    key=ModelKey("pool-7b", "", "1"),
    engines=9,
    service="quote-api",
    service_is_repeatable=False,
    services=3,
    workspaces={
        "luzon": 0.40,
        "visayas": 0.35,
        "mindanao": 0.10,
        "bicol": 0.08,
        "ilocos": 0.07,
    },
    types=(
        RequestType("review", 0.25, Priority.BATCH, 120.0, 2400, 1900, 4, 160),
        RequestType("chat", 0.50, Priority.INTERACTIVE, 10.0, 300, 190, 6, 15),
        RequestType(
            "quote", 0.25, Priority.STANDARD, 10.0, is_call=True, is_repeatable=False
        ),
    ),
)

PARTNERS = (KITAHARA, BANTAYOG)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request to be sent `at` seconds after the load's start."""

    at: float
    partner: Partner
    type: RequestType
    workspace: str
    request: Request


def arrivals(
    partner: Partner, speed: Speed, load: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield Poisson arrivals at `load` times the partner's capacity.

    Deadlines of the requests are still in seconds from their arrival.
    """
    rng = random.Random(f"{seed}/{partner.name}")
    rate = load * partner.capacity(speed)
    at = rng.expovariate(rate)
    number = 0
    while at < seconds:
        number += 1
        yield _arrival(partner, at, number, rng)
        at += rng.expovariate(rate)


def base_document(retry_share: float) -> dict:
    """Return the base document with both partners' deployments."""
    return {
        "sites": {p.name: {"regions": [p.region]} for p in PARTNERS},
        "limits": {"entry_hosts_seconds": 1.0, "retry_share": retry_share},
        "workspaces": {name: {} for p in PARTNERS for name in p.workspaces},
        "deployments": {p.deployment: _deployment(p) for p in PARTNERS},
        "services": {p.service: _service(p) for p in PARTNERS},
    }


def _deployment(partner: Partner) -> dict:
    return {
        "model": partner.key.model,
        "version": partner.key.version,
        "workspaces": list(partner.workspaces),
        # The measured fleet neither grows nor shrinks by itself.
        "min_replicas": partner.engines,
        "max_replicas": partner.engines,
    }


def _service(partner: Partner) -> dict:
    return {
        "workspaces": list(partner.workspaces),
        "is_repeatable": partner.service_is_repeatable,
    }


def _arrival(partner: Partner, at: float, number: int, rng: random.Random) -> Arrival:
    each = rng.choices(partner.types, [t.share for t in partner.types])[0]
    names = list(partner.workspaces)
    workspace = rng.choices(names, list(partner.workspaces.values()))[0]
    request_id = f"{partner.name}-{number}"
    if each.is_call:
        request = _call(partner, each, workspace, request_id)
    else:
        request = _generation(partner, each, workspace, request_id, rng)
    return Arrival(at, partner, each, workspace, request)


def _call(
    partner: Partner, each: RequestType, workspace: str, request_id: str
) -> Request:
    return Request(
        id=request_id,
        workspace=workspace,
        kind=RequestKind.SERVICE,
        target=partner.service,
        priority=each.priority,
        deadline=each.deadline,
        is_repeatable=each.is_repeatable,
        idempotency_key="" if each.is_repeatable else request_id,
        fingerprint=request_id,
        method="POST",
        path=f"/{each.name}",
        body=request_id.encode(),
    )


def _generation(
    partner: Partner,
    each: RequestType,
    workspace: str,
    request_id: str,
    rng: random.Random,
) -> Request:
    prompt = _prompt(each, f"{workspace}/{rng.randrange(each.families)}", request_id)
    least, most = each.answer_tokens // 2, each.answer_tokens * 3 // 2
    return Request(
        id=request_id,
        workspace=workspace,
        kind=RequestKind.CHAT,
        target=partner.deployment,
        priority=each.priority,
        deadline=each.deadline,
        fingerprint=request_id,
        model_key=partner.key,
        prompt=prompt,
        max_tokens=rng.randint(least, most),
        seed=rng.randrange(2**31),
    )


def _prompt(each: RequestType, family: str, request_id: str) -> str:
    shared = _fill(f"{each.name} of {family}. ", each.shared_tokens)
    own = _fill(f"{request_id}: ", each.prompt_tokens - each.shared_tokens)
    return shared + own


def _fill(text: str, tokens: int) -> str:
    size = tokens * _CHARACTERS_PER_TOKEN
    return (text * (size // len(text) + 1))[:size]
