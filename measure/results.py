"""Figures of one run, from its samples and its ledger."""

from dataclasses import asdict, dataclass, field

from measure.accounts import (
    Percentiles,
    Sample,
    count_codes,
    group,
    held_share,
    served_share,
)
from measure.world import World

__all__ = ["Latency", "PartnerResult", "Result"]

# Targets of the deployments, in seconds.
_FIRST_TOKEN = 0.54
_BETWEEN_TOKENS = 0.053


@dataclass(frozen=True, slots=True)
class Latency:
    """Times to the first token and between tokens, in milliseconds."""

    first_token: dict[str, float]
    between_tokens: dict[str, float]

    @classmethod
    def from_samples(cls, samples: list[Sample]) -> "Latency":
        """Return the latencies of the samples that got tokens."""
        first = (s.first_token for s in samples if s.first_token is not None)
        gaps = (gap for sample in samples for gap in sample.gaps)
        return cls(
            Percentiles.from_values(first).to_dict(),
            Percentiles.from_values(gaps).to_dict(),
        )


@dataclass(frozen=True, slots=True)
class PartnerResult:
    """Figures of one partner."""

    asked: int
    # Share of the requests to engines whose latency targets were held.
    held_share: float
    by_class: dict[str, Latency]
    by_workspace: dict[str, Latency]
    # Work served in time over what is due, by workspace.
    served_shares: dict[str, float]

    @classmethod
    def from_samples(cls, samples: list[Sample], fair_work: float) -> "PartnerResult":
        """Return the figures; `fair_work` is one workspace's share of the slots."""
        model = [sample for sample in samples if sample.work]
        workspaces = group(model, lambda s: s.workspace)
        return cls(
            asked=len(samples),
            held_share=held_share(samples, _FIRST_TOKEN, _BETWEEN_TOKENS),
            by_class=_latencies(group(model, lambda s: s.priority)),
            by_workspace=_latencies(workspaces),
            served_shares={
                name: served_share(own, fair_work) for name, own in workspaces.items()
            },
        )


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one policy in one scenario."""

    asked: int
    answered_in_time: int
    refused: dict[str, int]
    failed: dict[str, int]
    lost: int
    doubled: int
    wrong: int
    retry_share: float
    # Tokens of prompts and prefixes that engines computed, by need.
    first_tokens: int
    recomputed_tokens: int
    # Tokens of answers that were generated twice.
    decoded_again: int
    # Slot time of requests answered in time, as a share of all slot time.
    goodput_share: float
    # What a fault's own requests came to, and the engines that they ended.
    extra: dict[str, int]
    losses: int
    partners: dict[str, PartnerResult] = field(default_factory=dict)

    @classmethod
    def from_world(cls, world: World) -> "Result":
        """Return the figures of a run that has ended."""
        samples = world.samples
        ledger = world.ledger
        in_time = {sample.id for sample in samples if sample.is_in_time}
        good = sum(ledger.held[name] for name in in_time)
        return cls(
            asked=len(samples),
            answered_in_time=len(in_time),
            refused=count_codes(samples, is_accepted=False),
            failed=count_codes(samples, is_accepted=True),
            lost=sum(sample.is_lost for sample in samples),
            doubled=world.doubled,
            wrong=sum(sample.is_wrong for sample in samples + world.extra),
            retry_share=ledger.retry_share,
            first_tokens=ledger.first_tokens,
            recomputed_tokens=ledger.recomputed_tokens,
            decoded_again=world.decoded_again,
            goodput_share=good / world.capacity,
            extra=_count_ends(world.extra),
            losses=world.losses,
            partners=_partners(world),
        )

    def to_dict(self) -> dict:
        """Return what goes into JSON."""
        return asdict(self)


def _partners(world: World) -> dict[str, PartnerResult]:
    case = world.case
    samples = group(world.samples, lambda sample: sample.partner)
    results = {}
    for partner in case.partners:
        work = partner.engines * case.speed.slots * case.seconds
        fair = work / len(partner.workspaces)
        own = samples.get(partner.name, [])
        results[partner.name] = PartnerResult.from_samples(own, fair)
    return results


def _latencies(groups: dict[str, list[Sample]]) -> dict[str, Latency]:
    return {name: Latency.from_samples(own) for name, own in groups.items()}


def _count_ends(samples: list[Sample]) -> dict[str, int]:
    answered = sum(sample.is_answered for sample in samples)
    ends = count_codes(samples, is_accepted=True)
    for code, count in count_codes(samples, is_accepted=False).items():
        ends[code] = ends.get(code, 0) + count
    return ends | ({"answered": answered} if answered else {})
