"""Results of runs: one line and one record each, and a page over all of them."""

import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from soak.checks import Failure, Verdict
from soak.trial import Record

__all__ = ["Result", "read_results", "write_page"]

_MAX_FAILURES = 100


@dataclass(slots=True)
class Result:
    """What a run did and found."""

    seed: int
    options: str
    hosts: int
    requests: int
    events: dict[str, int]
    checks: dict[str, int]
    exempt: dict[str, int]
    statuses: dict[str, int]
    latest_exit: float
    delay: float
    failures: list[Failure] = field(default_factory=list)
    # Folder of the logs of a failed run, "" if they weren't kept.
    logs: str = ""

    @classmethod
    def from_verdict(cls, record: Record, verdict: Verdict, options: str) -> "Result":
        """Return the result of a run."""
        plan = record.plan
        events = Counter(f"signals: {each.kind}" for each in plan.series)
        events.update(f"upstream: {each.kind}" for each in plan.faults)
        events["configuration change"] = len(plan.changes)
        for life in record.lives:
            events.update(f"SIG{name} sent" for _, name in life.signals)
        return cls(
            seed=plan.seed,
            options=options,
            hosts=len(plan.controls) + len(plan.entries),
            requests=len(record.sent),
            events=dict(events),
            checks=dict(verdict.checks),
            exempt=dict(verdict.exempt),
            statuses=dict(verdict.statuses),
            latest_exit=verdict.latest_exit,
            delay=record.delay,
            failures=verdict.failures,
        )

    def line(self) -> str:
        """Return the result in one line."""
        rules = Counter(each.rule for each in self.failures)
        failed = ", ".join(f"{count} {rule}" for rule, count in rules.items())
        return (
            f"seed {self.seed}: {'FAILED: ' + failed if failed else 'passed'}; "
            f"{self.hosts} hosts, {self.requests} requests, "
            f"{sum(self.checks.values())} checks, {sum(self.exempt.values())} exempt, "
            f"latest exit {self.latest_exit:.2f} of grace, delay {self.delay:.2f} s"
        )

    def save(self, path: Path) -> None:
        """Append the result to a file."""
        with path.open("a") as stream:
            stream.write(json.dumps(asdict(self)) + "\n")


def read_results(path: Path) -> list[Result]:
    """Return the results in a file."""
    results = []
    for line in path.read_text().splitlines():
        fields = json.loads(line)
        fields["failures"] = [Failure(**each) for each in fields["failures"]]
        results.append(Result(**fields))
    return results


def write_page(results: list[Result]) -> str:
    """Return a page over all results."""
    failed = [each for each in results if each.failures]
    latest_exit = max((each.latest_exit for each in results), default=0)
    delay = max((each.delay for each in results), default=0)
    lines = [
        f"Seeds: {len(results)}, failed {len(failed)}: "
        + ", ".join(str(each.seed) for each in failed),
        f"Requests: {sum(each.requests for each in results)}; "
        f"latest exit {latest_exit:.2f} of grace; largest delay {delay:.2f} s",
    ]
    for title in ("events", "checks", "statuses", "exempt"):
        total = Counter()
        for each in results:
            total.update(getattr(each, title))
        lines.append(f"{title.capitalize()}:")
        lines += [f"  {count:>8}  {name}" for name, count in sorted(total.items())]
    lines.append("Failures:")
    shown = [(result, each) for result in failed for each in result.failures]
    for result, each in shown[:_MAX_FAILURES]:
        lines.append(
            f"  seed {result.seed} at {each.at} s, {each.host} {each.subject}: "
            f"{each.rule}: {each.text} (logs: {result.logs})"
        )
    if len(shown) > _MAX_FAILURES:
        lines.append(f"  and {len(shown) - _MAX_FAILURES} more")
    return "\n".join(lines)
