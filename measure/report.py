"""Tables of the figures, for the terminal and for the page."""

import datetime
import subprocess
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import TextIO

from measure.fleet_day import DayResult
from measure.results import Result
from measure.scenarios import SCENARIOS
from measure.targets import Judgement

__all__ = [
    "PAGE",
    "Table",
    "describe_run",
    "print_table",
    "print_tables",
    "replace_section",
    "to_markdown",
    "write_page",
]

PAGE = "README.md"
_TITLE = "# Measurements\n"

Table = list[list[str]]
Results = Mapping[str, Mapping[str, Result | DayResult]]

_HEADS = [
    "policy",
    "asked",
    "in time",
    "refused",
    "failed",
    "lost/doubled/wrong",
    "held kitahara",
    "held bantayog",
    "goodput",
    "retries",
    "computed",
    "recomputed",
]
_DAY_HEADS = [
    "policy",
    "partner",
    "cost",
    "enough slots",
    "after waves",
    "starts",
    "reclaimed",
    "refused (both)",
]


def print_tables(
    results: Results, judgements: Iterable[Judgement], out: TextIO
) -> None:
    """Write all tables as text."""
    for name, policies in results.items():
        print(f"\n{name}: {_about(name)}", file=out)
        for table in _tables(name, policies):
            print_table(table, out)
    print("\ntargets", file=out)
    print_table(_judgement_table(judgements), out)


def write_page(
    folder: Path,
    about: Mapping,
    results: Results,
    judgements: Iterable[Judgement],
    plots: Iterable[str],
) -> None:
    """Write the page's section on policies."""
    lines = [
        f"`{about['command'].strip()}`, seed {about['seed']}, commit "
        f"{about['commit']}, {about['date']}, {about['seconds']} s.",
        "Whole hosts in virtual time; "
        + (
            "a second run with the same seed gave the same figures."
            if about["is_repeated"]
            else "run once."
        ),
        "",
        *to_markdown(_judgement_table(judgements)),
    ]
    for name, policies in results.items():
        lines += ["", f"### {name}", "", _about(name)]
        for table in _tables(name, policies):
            lines += ["", *to_markdown(table)]
    lines += [""] + [f"![{plot}]({plot})" for plot in plots]
    replace_section(folder / PAGE, "Policies", lines)


def replace_section(page: Path, title: str, lines: Iterable[str]) -> None:
    """Write a section of the page in place of its earlier one."""
    text = page.read_text() if page.exists() else _TITLE
    head, *sections = text.split("\n## ")
    bodies = dict(section.split("\n", 1) for section in sections)
    bodies[title] = "\n" + "\n".join(lines) + "\n"
    parts = [f"\n## {name}\n{body.rstrip()}\n" for name, body in bodies.items()]
    page.write_text(head.rstrip() + "\n" + "".join(parts))


def print_table(table: Table, out: TextIO) -> None:
    """Write a table as text."""
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  " + "  ".join(cells).rstrip(), file=out)


def to_markdown(table: Table) -> list[str]:
    """Return a table's lines for a page."""
    head, *lines = table
    rule = ["---"] * len(head)
    return [f"| {' | '.join(line)} |" for line in (head, rule, *lines)]


def describe_run() -> dict[str, str]:
    """Return what a page tells of a run: command, commit and date."""
    git = ["git", "describe", "--always", "--dirty"]
    commit = subprocess.run(git, capture_output=True, text=True)
    return {
        "command": " ".join(["pepperstep-measure", *sys.argv[1:]]),
        "commit": commit.stdout.strip(),
        "date": datetime.date.today().isoformat(),
    }


def _about(name: str) -> str:
    if name in SCENARIOS:
        return SCENARIOS[name].about
    return "A day of both fleets: six waves of reclaims a partner, then refusals."


def _tables(name: str, policies: Mapping) -> list[Table]:
    if name == "fleet":
        return [_day_table(policies)]
    return [_run_table(policies), _latency_table(policies)]


def _run_table(policies: Mapping[str, Result]) -> Table:
    return [_HEADS] + [_run_line(name, each) for name, each in policies.items()]


def _run_line(policy: str, result: Result) -> list[str]:
    held = [
        f"{result.partners[name].held_share:.1%}" if name in result.partners else ""
        for name in ("kitahara", "bantayog")
    ]
    return [
        policy,
        str(result.asked),
        str(result.answered_in_time),
        _codes(result.refused),
        _codes(result.failed),
        f"{result.lost}/{result.doubled}/{result.wrong}",
        *held,
        f"{result.goodput_share:.1%}",
        f"{result.retry_share:.1%}",
        str(result.first_tokens),
        str(result.recomputed_tokens),
    ]


def _latency_table(policies: Mapping[str, Result]) -> Table:
    """Return p50/p95/p99 by class and by workspace."""
    table = [["policy", "partner", "of", "first token ms", "between tokens ms"]]
    for policy, result in policies.items():
        for name, partner in result.partners.items():
            groups = partner.by_class | partner.by_workspace
            for group, latency in groups.items():
                line = [policy, name, group]
                for times in (latency.first_token, latency.between_tokens):
                    line.append(
                        f"{times['p50']:.0f}/{times['p95']:.0f}/{times['p99']:.0f}"
                    )
                table.append(line)
    return table


def _day_table(policies: Mapping[str, DayResult]) -> Table:
    table = [_DAY_HEADS]
    for policy, result in policies.items():
        for name, partner in result.partners.items():
            line = [
                policy,
                name,
                f"{partner.cost:.1f}",
                f"{partner.held_share:.1%}",
                f"{partner.held_wave_share:.1%}",
                str(partner.starts),
                str(partner.reclaims),
                str(result.refusals),
            ]
            table.append(line)
    return table


def _judgement_table(judgements: Iterable[Judgement]) -> Table:
    lines = [
        [each.target, each.measured, "reached" if each.is_reached else "MISSED"]
        for each in judgements
    ]
    return [["target", "measured", ""], *lines]


def _codes(codes: Mapping[str, int]) -> str:
    return " ".join(f"{code} {count}" for code, count in codes.items()) or "0"
