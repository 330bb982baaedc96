"""Simulates roll-outs of good and bad versions without network or clock.

Requests arrive at a constant rate. Reports reach the judge, and its steps reach the
hosts, after a delay. 55 hosts over 12 seconds are simulated in milliseconds.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from pepperstep.rollouts.evaluation import Verdict, evaluate
from pepperstep.rollouts.outcomes import Outcomes, latency_bucket
from pepperstep.rollouts.plan import ExposureBound, Situation, next_move
from pepperstep.rollouts.records import Rollout, RolloutState

# Longest delay of a report on the new and on old versions.
REPORT_SECONDS = 0.15
OLD_REPORT_SECONDS = 0.75
# Time from a step until hosts apply it.
PROPAGATION_SECONDS = 0.1
STEP_SECONDS = 0.1


@dataclass(frozen=True)
class Request:
    """A request, as input of the fault function of its version."""

    route: str
    # Seconds since the order.
    time: float
    # Number of earlier requests to the new version.
    number: int
    # Share of the requests that the new version gets.
    share: float
    upstream: int


# Returns the factor by which a request takes longer, None for a failure.
Fault = Callable[[Request, random.Random], float | None]


@dataclass(frozen=True)
class Scenario:
    """A service and its versions."""

    fault: Fault
    requests_per_second: float = 119.0
    duration: float = 12.0
    routes: tuple[str, ...] = ("a", "b", "c")
    # Share of the requests that fail on every version.
    baseline_failures: float = 0.0
    new_count: int = 30
    old_count: int = 30
    # Time from the order until the new upstreams are available.
    boot_seconds: float = 1.0
    # Fault of the old versions, such as a crash.
    old_fault: Fault = lambda request, rng: 1.0


@dataclass
class Result:
    """Outcome of a simulated roll-out."""

    rollout: Rollout
    exposed: int = 0
    total: int = 0
    # Requests to the new version over 2 seconds after its 50th bad answer.
    late: int = 0
    # Seconds from the first bad answer to the verdict.
    verdict_seconds: float = 0.0

    @property
    def allowed(self) -> float:
        """Largest allowed number of requests to a bad version."""
        return 0.1 * self.total + 50

    @property
    def seconds(self) -> float:
        """Seconds from the order to the decision."""
        return self.rollout.changed_at


def simulate(scenario: Scenario, seed: int) -> Result:
    """Simulate one roll-out."""
    rng = random.Random(seed)
    rollout = Rollout("s", 1, "v2", scenario.duration, 0.0, 0.0)
    result = Result(rollout)
    known = Outcomes()
    reports: list[tuple[float, str, str, float | None]] = []
    sent_shares: list[tuple[float, float]] = [(-PROPAGATION_SECONDS, 0.0)]
    bad_times: list[float] = []
    before = Outcomes()
    time = 0.0
    while time < scenario.duration:
        time += STEP_SECONDS
        share = [each for at, each in sent_shares if at + PROPAGATION_SECONDS <= time][
            -1
        ]
        count = int(scenario.requests_per_second * STEP_SECONDS + rng.random())
        for _ in range(count):
            result.total += 1
            route = rng.choice(scenario.routes)
            is_new = rng.random() < share
            number = rng.randrange(scenario.new_count if is_new else scenario.old_count)
            request = Request(route, time, result.exposed, share, number)
            fault = scenario.fault if is_new else scenario.old_fault
            factor = fault(request, rng)
            if rng.random() < scenario.baseline_failures:
                factor = None
            if is_new:
                result.exposed += 1
                if len(bad_times) >= 50 and time > bad_times[49] + 2.0:
                    result.late += 1
            if is_new and (factor is None or factor > 2.0):
                bad_times.append(time)
            seconds = None if factor is None else factor * rng.lognormvariate(-3, 0.4)
            upstream = f"n{number}" if is_new else ""
            delay = REPORT_SECONDS if is_new else OLD_REPORT_SECONDS
            arrives = time + (seconds or 0.05) + delay * rng.random()
            reports.append((arrives, route, upstream, seconds))
        due = [each for each in reports if each[0] <= time]
        reports = [each for each in reports if each[0] > time]
        for _, route, upstream, seconds in due:
            tally = known.tally(route, upstream)
            if seconds is None:
                tally.failed += 1
            else:
                tally.answered[latency_bucket(seconds)] += 1
        if not rollout.is_running:
            continue
        outcomes = known.of_new().total
        situation = Situation(
            now=time,
            new_count=scenario.new_count if time >= scenario.boot_seconds else 0,
            old_count=scenario.old_count,
            needed=0.5 * scenario.old_count,
            verdict=evaluate(known, before) if outcomes else Verdict(False),
            rate=(outcomes + known.of_old().total) / time,
            outcomes=outcomes,
            outcomes_before=before.of_new().total,
            in_flight=0 if share >= 1.0 else 5,
        )
        move = next_move(rollout, situation, ExposureBound())
        if move is None:
            continue
        before = Outcomes.sum_of([known])
        rollout = replace(
            rollout,
            state=move.state,
            share=move.share,
            changed_at=time,
            reason=move.reason,
            step=move.step,
        )
        sent_shares.append((time, move.share))
        if move.state is RolloutState.ROLLED_BACK and bad_times:
            result.verdict_seconds = time - bad_times[0]
    result.rollout = rollout
    return result
