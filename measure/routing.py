"""Compares the routing's policies with their baselines, in virtual time.

`python -m measure.routing` prints a table for each scenario with the medians of
three seeds; all policies of a scenario get the same loads and faults. Names of
scenarios may be given. Times are in milliseconds, shares in percent.
"""

import statistics
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from measure.routing_site import Figures, Site, Work, run_policy, send
from pepperstep.entities import Priority, Request
from pepperstep.routing import RoutingSettings

__all__ = ["SCENARIOS", "main"]

_SEEDS = (1, 2, 3)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Policies compared under the same load; a line of figures for each."""

    work: Work
    policies: dict[str, RoutingSettings]
    heads: tuple[str, ...]
    line: Callable[[Figures], tuple[float, ...]]
    options: dict


def _milliseconds(seconds: float) -> float:
    return round(seconds * 1000)


def _percent(share: float) -> float:
    return round(100 * share, 1)


# Placement: 40 families of prompts with a long prefix in common, late load.


async def _work_placement(site: Site, nursery: trio.Nursery) -> None:
    prefixes = [f"Contract {n}: clause and benefit. " * 125 for n in range(40)]

    def make() -> Request:
        prompt = site.rng.choice(prefixes) + f"Question {site.rng.random()}?" * 4
        return site.request(prompt=prompt, max_tokens=20)

    await send(site, nursery, 40.0, 30.0, make)


def _line_placement(figures: Figures) -> tuple[float, ...]:
    return (
        _milliseconds(figures.percentile(0.5)),
        _milliseconds(figures.percentile(0.95)),
        _milliseconds(figures.percentile(0.99)),
        figures.computed_tokens,
        figures.count(lambda sample: not sample.is_answered),
    )


# Fairness: a large workspace's reviews fill the places; others ask shortly.


async def _work_fairness(site: Site, nursery: trio.Nursery) -> None:
    def review(workspace: str) -> Request:
        return site.request(
            workspace=workspace,
            priority=Priority.BATCH,
            max_tokens=200,
            deadline=site.timers.wall() + 120,
        )

    def reply() -> Request:
        return site.request(
            workspace="desk", priority=Priority.INTERACTIVE, max_tokens=20
        )

    async with trio.open_nursery() as senders:
        senders.start_soon(send, site, nursery, 20.0, 30.0, lambda: review("large"))
        senders.start_soon(send, site, nursery, 2.0, 30.0, lambda: review("small"))
        senders.start_soon(send, site, nursery, 5.0, 30.0, reply)


def _line_fairness(figures: Figures) -> tuple[float, ...]:
    def first_token(workspace: str) -> float:
        return _milliseconds(
            figures.percentile(0.95, lambda request: request.workspace == workspace)
        )

    def answered(workspace: str) -> float:
        own = [each for each in figures.samples if each.request.workspace == workspace]
        return _percent(sum(each.is_answered for each in own) / len(own))

    names = ("desk", "small", "large")
    return tuple(first_token(name) for name in names) + tuple(map(answered, names))


# Limits: engines whose steps grow with the batch, and more load than keeps pace.


async def _work_limits(site: Site, nursery: trio.Nursery) -> None:
    await send(site, nursery, 75.0, 40.0, lambda: site.request(max_tokens=40))


def _line_limits(figures: Figures) -> tuple[float, ...]:
    late = [each for each in figures.samples if each.is_answered]
    gaps = sorted(each.gaps for each in late)
    return (
        _milliseconds(gaps[len(gaps) // 2]),
        _milliseconds(gaps[int(0.95 * len(gaps))]),
        _milliseconds(figures.percentile(0.95)),
        len(late) / figures.seconds,
        figures.count(lambda sample: not sample.is_answered),
    )


# Ejection: one upstream flaps, one is slow, or half of them fail at times.


async def _flap(site: Site) -> None:
    while True:
        site.engines[0].fail_share = 0.9
        await trio.sleep(4)
        site.engines[0].fail_share = 0.0
        await trio.sleep(4)


async def _slow(site: Site) -> None:
    await trio.sleep(5)
    site.engines[0].slow_seconds = 1.0
    await trio.sleep(25)
    site.engines[0].slow_seconds = 0.0


async def _fail(site: Site) -> None:
    await trio.sleep(5)
    site.engines[0].fail_share = 1.0
    await trio.sleep(20)
    site.engines[0].fail_share = 0.0


async def _brown_out(site: Site) -> None:
    await trio.sleep(5)
    for engine in site.engines[::2]:
        engine.fail_share = 0.4
    await trio.sleep(20)
    for engine in site.engines[::2]:
        engine.fail_share = 0.0


def _with_fault(fault: Callable[[Site], Awaitable[None]]) -> Work:
    async def work(site: Site, nursery: trio.Nursery) -> None:
        async with trio.open_nursery() as faults:
            faults.start_soon(fault, site)
            await send(site, nursery, 68.0, 40.0, lambda: site.request(max_tokens=20))
            faults.cancel_scope.cancel()

    return work


def _line_breaker(figures: Figures) -> tuple[float, ...]:
    answered = figures.count(lambda sample: sample.is_answered)
    return (
        answered / figures.seconds,
        _milliseconds(figures.percentile(0.5)),
        _milliseconds(figures.percentile(0.95)),
        _milliseconds(figures.percentile(0.99)),
        _percent(figures.retry_share),
        figures.count(lambda sample: sample.code == "retries_exhausted"),
        figures.count(lambda sample: not sample.is_answered),
        figures.ejections,
    )


# Refusals: twice the load that the engines can take, with deadlines.


async def _work_overload(site: Site, nursery: trio.Nursery) -> None:
    def make() -> Request:
        is_reply = site.rng.random() < 0.3
        return site.request(
            workspace=site.rng.choice(("large", "large", "large", "small")),
            priority=Priority.INTERACTIVE if is_reply else Priority.STANDARD,
            max_tokens=20 if is_reply else 50,
            deadline=site.timers.wall() + (6 if is_reply else 15),
        )

    await send(site, nursery, 2 * _OVERLOAD_CAPACITY, _OVERLOAD_SECONDS, make)


# 9 engines of 8 slots; a request holds one for 0.3 * 0.44 + 0.7 * 1.04 s.
_OVERLOAD_SECONDS = 60.0
_OVERLOAD_CAPACITY = 72 / (0.3 * 0.43 + 0.7 * 1.03)


def _line_overload(figures: Figures) -> tuple[float, ...]:
    refused = [each for each in figures.samples if each.code in _REFUSALS]
    answered = [each for each in figures.samples if each.is_answered]
    work = sum(
        0.03 + 0.02 * each.request.max_tokens
        for each in answered
        if each.ended_at < _OVERLOAD_SECONDS
    )
    asked = {
        name: sum(each.request.workspace == name for each in figures.samples)
        for name in ("large", "small")
    }
    served = {
        name: sum(each.request.workspace == name for each in answered)
        for name in ("large", "small")
    }
    return (
        _percent(work / (72 * _OVERLOAD_SECONDS)),
        _milliseconds(
            figures.percentile(0.95, lambda each: each.priority == Priority.INTERACTIVE)
        ),
        len(refused),
        figures.count(lambda sample: sample.code == "deadline_expired"),
        _percent(served["large"] / asked["large"]),
        _percent(served["small"] / asked["small"]),
        statistics.mean([each.retry_after for each in refused] or [0]),
    )


_REFUSALS = ("overloaded", "queue_full")

# Retries: all upstreams refuse a share of the attempts throughout.


async def _work_retries(site: Site, nursery: trio.Nursery) -> None:
    for engine in site.engines:
        engine.fail_share = 0.4
    await send(site, nursery, 40.0, 40.0, lambda: site.request(max_tokens=20))


def _choices() -> dict[str, RoutingSettings]:
    names = ("round_robin", "random", "least_in_flight", "predicted")
    return {name: RoutingSettings(choice=name) for name in names}


def _variants(field_name: str, *values) -> dict[str, RoutingSettings]:
    return {str(value): RoutingSettings(**{field_name: value}) for value in values}


_BREAKER = {
    **_variants("breaker", "none", "consecutive"),
    "3 failures": RoutingSettings(breaker_failures=3),
    "3, half ejected": RoutingSettings(breaker_failures=3, max_ejected_share=0.5),
}
_BREAKER_HEADS = (
    "answers/s",
    "p50",
    "p95",
    "p99 ms",
    "retries %",
    "no budget",
    "failed",
    "ejections",
)
_TTFT = ("p50", "p95", "p99 ms", "computed", "failed")

SCENARIOS: dict[str, Scenario] = {
    "placement": Scenario(
        _work_placement,
        _choices(),
        _TTFT,
        _line_placement,
        {"cache_blocks": 200},
    ),
    "choices": Scenario(
        _work_placement,
        _variants("choices", 1, 2, 3, 9),
        _TTFT,
        _line_placement,
        {"cache_blocks": 200},
    ),
    "prefill_sharing": Scenario(
        _work_placement,
        _variants("prefill_sharing", 0.0, 0.5, 1.0),
        _TTFT,
        _line_placement,
        {"cache_blocks": 200},
    ),
    "fairness": Scenario(
        _work_fairness,
        _variants("queue", "fifo", "fair"),
        ("desk p95", "small", "large ms", "desk %", "small %", "large %"),
        _line_fairness,
        {"engines": 3},
    ),
    "limits": Scenario(
        _work_limits,
        _variants("limit", "fixed", "aimd"),
        ("gap p50", "p95", "ttft p95 ms", "answers/s", "failed"),
        _line_limits,
        {"engines": 3, "slots": 64, "easy_batch": 16},
    ),
    **{
        name: Scenario(
            _with_fault(fault), _BREAKER, _BREAKER_HEADS, _line_breaker, {"slots": 4}
        )
        for name, fault in {
            "flapping": _flap,
            "slow": _slow,
            "failing": _fail,
            "brownout": _brown_out,
        }.items()
    },
    "overload": Scenario(
        _work_overload,
        {
            "fifo, no refusal": RoutingSettings(queue="fifo", refuses_early=False),
            "fair, no refusal": RoutingSettings(refuses_early=False),
            "fair, early": RoutingSettings(),
        },
        (
            "goodput %",
            "reply p95 ms",
            "refused",
            "late",
            "large %",
            "small %",
            "return s",
        ),
        _line_overload,
        {"slots": 8},
    ),
    "retries": Scenario(
        _work_retries,
        {"budget": RoutingSettings(breaker="none")},
        _BREAKER_HEADS,
        _line_breaker,
        {},
    ),
    "retries_without_budget": Scenario(
        _work_retries,
        {"no budget": RoutingSettings(breaker="none", host_retry_burst=10**9)},
        _BREAKER_HEADS,
        _line_breaker,
        {"retry_share": 1.0},
    ),
}


def print_table(name: str, scenario: Scenario) -> None:
    """Run all policies of a scenario and print their figures."""
    print(f"\n{name:18}" + "".join(f"{head:>15}" for head in scenario.heads))
    for policy, settings in scenario.policies.items():
        lines = [
            scenario.line(
                run_policy(scenario.work, settings, seed=seed, **scenario.options)
            )
            for seed in _SEEDS
        ]
        medians = [statistics.median(values) for values in zip(*lines, strict=True)]
        line = "".join(f"{round(value, 1):>15}" for value in medians)
        print(f"{policy:18}{line}", flush=True)


def main() -> None:
    """Print the tables of the scenarios named, or of all."""
    for name in sys.argv[1:] or SCENARIOS:
        print_table(name, SCENARIOS[name])


if __name__ == "__main__":
    main()
