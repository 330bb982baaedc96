"""Roll-outs of versions that are good or bad, by hosts that report to a judge.

Requests arrive evenly; reports reach the judge, and its steps the hosts, later. No
network and no clock: 55 hosts for 12 seconds take some milliseconds.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from pepperstep.rollouts.evaluation import Verdict, judge
from pepperstep.rollouts.outcomes import Outcomes, speed_class
from pepperstep.rollouts.plan import ExposureBound, Situation, next_move
from pepperstep.rollouts.records import Rollout, RolloutState

# Seconds from an outcome until the judge knows it, and from a step until hosts do.
REPORT_SECONDS = 0.15
OLD_REPORT_SECONDS = 0.75
TELL_SECONDS = 0.1
STEP_SECONDS = 0.1


@dataclass(frozen=True)
class Request:
    """A request on the new version, as faults of versions depend on it."""

    route: str
    # Since the order, in seconds.
    time: float
    # Requests that the new version has had before.
    number: int
    # Part of all requests that the new version gets.
    share: float
    upstream: int


# Returns how much longer a request takes, None for a failure.
Fault = Callable[[Request, random.Random], float | None]


@dataclass(frozen=True)
class Scene:
    """A service and its versions."""

    fault: Fault
    a_second: float = 119.0
    duration: float = 12.0
    routes: tuple[str, ...] = ("a", "b", "c")
    # Part of all requests that fail on any version.
    usual_failures: float = 0.0
    new_count: int = 30
    old_count: int = 30
    # From the order until the new upstreams are there, in seconds.
    boot: float = 1.0
    # The same for other versions, e.g. a crash of theirs.
    old_fault: Fault = lambda request, rng: 1.0


@dataclass
class Result:
    """What became of a roll-out."""

    rollout: Rollout
    exposed: int = 0
    total: int = 0
    # Requests on the new version later than so long after its 50th bad answer.
    late: int = 0
    # From the first bad answer until the verdict, in seconds.
    verdict_seconds: float = 0.0

    @property
    def allowed(self) -> float:
        """Requests that a bad version may have had."""
        return 0.1 * self.total + 50

    @property
    def seconds(self) -> float:
        """From the order until the decision."""
        return self.rollout.changed_at


def play(scene: Scene, seed: int) -> Result:
    """Return what becomes of one roll-out."""
    rng = random.Random(seed)
    rollout = Rollout("s", 1, "v2", scene.duration, 0.0, 0.0)
    result = Result(rollout)
    known = Outcomes()
    reports: list[tuple[float, str, str, float | None]] = []
    told: list[tuple[float, float]] = [(-TELL_SECONDS, 0.0)]
    bad_times: list[float] = []
    before = Outcomes()
    time = 0.0
    while time < scene.duration:
        time += STEP_SECONDS
        share = [each for at, each in told if at + TELL_SECONDS <= time][-1]
        count = int(scene.a_second * STEP_SECONDS + rng.random())
        for _ in range(count):
            result.total += 1
            route = rng.choice(scene.routes)
            is_new = rng.random() < share
            number = rng.randrange(scene.new_count if is_new else scene.old_count)
            request = Request(route, time, result.exposed, share, number)
            fault = scene.fault if is_new else scene.old_fault
            factor = fault(request, rng)
            if rng.random() < scene.usual_failures:
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
                tally.answered[speed_class(seconds)] += 1
        if not rollout.is_running:
            continue
        outcomes = known.of_new().total
        situation = Situation(
            now=time,
            new_count=scene.new_count if time >= scene.boot else 0,
            old_count=scene.old_count,
            needed=0.5 * scene.old_count,
            verdict=judge(known, before) if outcomes else Verdict(False),
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
        told.append((time, move.share))
        if move.state is RolloutState.ROLLED_BACK and bad_times:
            result.verdict_seconds = time - bad_times[0]
    result.rollout = rollout
    return result
