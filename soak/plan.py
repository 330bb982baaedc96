"""Plan of a run, drawn from its seed before anything starts.

The same seed and options give the same plan. Times are in seconds after the start of
the callers.
"""

import random
from dataclasses import dataclass, field

__all__ = ["CallerPlan", "ConfigChange", "Plan", "SignalSeries", "UpstreamFault"]

SERVICES = ("plain", "other")
STOPS = ("TERM", "INT")
# Entry hosts of a run with many processes.
_CROWD = 24
# Mean time between two series of signals to hosts of the same role.
_ENTRY_GAP_SECONDS = 2.5
_CONTROL_GAP_SECONDS = 7.0
_FAULT_GAP_SECONDS = 3.0
_CHANGE_GAP_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class SignalSeries:
    """Signals to one host, each with the delay after the start of the series.

    If `anchor` isn't "running", the host is killed and started first, and the delays
    count from its "exec" or from when it begins to "listen". A host that has ended is
    started again after `back` seconds.
    """

    at: float
    kind: str
    host: str
    steps: tuple[tuple[float, str], ...]
    anchor: str = "running"
    back: float = 0.3


@dataclass(frozen=True, slots=True)
class UpstreamFault:
    """Fault of an upstream for `seconds`; `is_renamed` if it comes back with a new id.

    The kind is "silence", "slow", "refuse", "crash" or "leave".
    """

    at: float
    kind: str
    upstream: str
    seconds: float
    is_renamed: bool = False


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """New version of the configuration."""

    at: float
    timeout_ms: int
    idle_ms: int


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """A caller with at most one connection, which it keeps for some of its requests."""

    number: int
    host: str
    # "unsafe", "safe" or "stream".
    kind: str
    service: str
    # Deadline of its requests and pause between them, in seconds.
    deadline: float
    pause: float
    body_bytes: int
    # Shares of requests on a kept connection, and of those that it leaves early.
    kept_share: float
    leaving_share: float
    # Pause between two pieces of a request, 0 to send it at once.
    piece_pause: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that a run does."""

    seed: int
    seconds: float
    grace: float
    controls: tuple[str, ...]
    entries: tuple[str, ...]
    # Services of upstreams by name.
    upstreams: dict[str, str]
    callers: tuple[CallerPlan, ...]
    series: tuple[SignalSeries, ...] = ()
    faults: tuple[UpstreamFault, ...] = ()
    changes: tuple[ConfigChange, ...] = ()
    # Signals of the stop of all hosts at the end.
    last: tuple[tuple[float, str], ...] = field(default=((0.0, "TERM"),))

    @classmethod
    def from_seed(cls, seed: int, seconds: float, *, is_crowded: bool = False):
        """Draw the plan of a run whose events take `seconds`."""
        rng = random.Random(seed)
        controls = [f"control-{n + 1}" for n in range(rng.choice((3, 3, 5)))]
        count = _CROWD if is_crowded else rng.randint(2, 6)
        entries = [f"entry-{n + 11}" for n in range(count)]
        upstreams = {
            f"u{n + 100}": SERVICES[n % len(SERVICES)] for n in range(rng.randint(4, 8))
        }
        grace = rng.choice((5.0, 6.0, 8.0))
        return cls(
            seed=seed,
            seconds=seconds,
            grace=grace,
            controls=tuple(controls),
            entries=tuple(entries),
            upstreams=upstreams,
            callers=tuple(_draw_callers(rng, entries)),
            series=tuple(
                sorted(
                    [
                        *_draw_series(rng, entries, seconds, _ENTRY_GAP_SECONDS, grace),
                        *_draw_series(
                            rng, controls, seconds, _CONTROL_GAP_SECONDS, grace
                        ),
                    ],
                    key=lambda each: each.at,
                )
            ),
            faults=tuple(_draw_faults(rng, list(upstreams), seconds)),
            changes=tuple(_draw_changes(rng, seconds)),
            last=_draw_stop(rng, grace),
        )

    def lines(self) -> list[str]:
        """Return the plan as text, one event a line in the order of time."""
        head = (
            f"seed {self.seed}: {len(self.controls)} control hosts, "
            f"{len(self.entries)} entry hosts, {len(self.upstreams)} upstreams, "
            f"{len(self.callers)} callers, grace {self.grace:g} s, "
            f"events for {self.seconds:g} s, last stop {self.last}"
        )
        events = sorted((*self.series, *self.faults, *self.changes), key=_time_of)
        return [head, *(f"  {each}" for each in events)]


def _time_of(event) -> float:
    return event.at


def _draw_callers(rng: random.Random, entries: list[str]):
    per_host = 3 if len(entries) > 6 else 8
    number = 0
    for host in entries:
        for _ in range(per_host):
            number += 1
            yield CallerPlan(
                number=number,
                host=host,
                kind=rng.choice(("unsafe", "unsafe", "unsafe", "safe", "stream")),
                service=rng.choice(SERVICES),
                deadline=rng.choice((0.5, 1.5, 3.0, 6.0)),
                pause=rng.choice((0.02, 0.1, 0.3, 0.7)) * (len(entries) / 4),
                body_bytes=rng.choice((0, 40, 40, 2_000, 60_000)),
                kept_share=rng.choice((0.0, 0.9, 1.0, 1.0)),
                leaving_share=rng.choice((0.0, 0.0, 0.0, 0.1)),
                piece_pause=rng.choice((0.0, 0.0, 0.0, 0.01, 0.1)),
            )


def _draw_stop(rng: random.Random, grace: float) -> tuple[tuple[float, str], ...]:
    """Return a stop signal and further ones, which must change nothing."""
    steps = [(0.0, rng.choice(STOPS))]
    if rng.random() < 0.3:
        steps.insert(0, (0.0, "HUP"))
    for _ in range(rng.choice((0, 0, 1, 2, 4))):
        steps.append((round(rng.uniform(0, grace), 2), rng.choice((*STOPS, "HUP"))))
    return tuple(sorted(steps, key=lambda each: each[0]))


def _draw_one(rng: random.Random, at: float, host: str, grace: float) -> SignalSeries:
    kind = rng.choices(
        ("stop", "early stop", "kill", "freeze", "frozen stop", "reload", "cut stop"),
        (8, 3, 2, 2, 1, 1, 1),
    )[0]
    anchor = "running"
    steps = _draw_stop(rng, grace)
    if kind == "early stop":
        anchor = rng.choice(("exec", "exec", "listen"))
        delay = 0.0 if anchor == "listen" else rng.uniform(0.0, 0.8)
        steps = tuple((round(delay + after, 2), name) for after, name in steps)
    elif kind == "kill":
        steps = ((0.0, "KILL"),)
    elif kind == "freeze":
        steps = ((0.0, "STOP"), (round(rng.uniform(0.2, 3.0), 2), "CONT"))
    elif kind == "frozen stop":
        begin, length = rng.uniform(0.0, 2.0), rng.uniform(0.2, 1.5)
        pause = ((round(begin, 2), "STOP"), (round(begin + length, 2), "CONT"))
        steps = tuple(sorted((*steps, *pause), key=lambda each: each[0]))
    elif kind == "reload":
        steps = ((0.0, "HUP"), (0.1, "HUP"))
    elif kind == "cut stop":
        steps = (*steps, (round(rng.uniform(0.5, 0.9) * grace, 2), "KILL"))
        steps = tuple(sorted(steps, key=lambda each: each[0]))
    back = round(rng.choice((0.0, 0.3, 1.5)), 2)
    return SignalSeries(round(at, 2), kind, host, steps, anchor, back)


def _draw_series(
    rng: random.Random, hosts: list[str], seconds: float, gap: float, grace: float
):
    at = rng.uniform(0.5, gap)
    while at < seconds:
        if rng.random() < 0.15:
            # A rolling restart.
            pause = rng.choice((0.0, 0.2, 1.0))
            steps = _draw_stop(rng, grace)
            for number, host in enumerate(rng.sample(hosts, len(hosts))):
                begin = round(at + number * pause, 2)
                yield SignalSeries(begin, "rolling", host, steps)
            at += len(hosts) * pause + gap
        else:
            yield _draw_one(rng, at, rng.choice(hosts), grace)
        at += rng.expovariate(1 / gap)


def _draw_faults(rng: random.Random, upstreams: list[str], seconds: float):
    at = rng.uniform(0.5, _FAULT_GAP_SECONDS)
    while at < seconds:
        kind = rng.choice(("silence", "silence", "slow", "refuse", "crash", "leave"))
        count = len(upstreams) if kind == "silence" and rng.random() < 0.4 else 1
        length = rng.uniform(1.0, 2.0) if kind == "silence" else rng.uniform(0.3, 3.0)
        for name in rng.sample(upstreams, count):
            yield UpstreamFault(
                round(at, 2), kind, name, round(length, 2), rng.random() < 0.5
            )
        at += rng.expovariate(1 / _FAULT_GAP_SECONDS)


def _draw_changes(rng: random.Random, seconds: float):
    at = rng.uniform(0.5, _CHANGE_GAP_SECONDS)
    while at < seconds:
        yield ConfigChange(
            round(at, 2),
            timeout_ms=rng.choice((1_000, 2_500, 5_000, 9_000)),
            idle_ms=rng.choice((300, 1_000, 15_000)),
        )
        at += rng.expovariate(1 / _CHANGE_GAP_SECONDS)
