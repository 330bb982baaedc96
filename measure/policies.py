"""Compares the policies with their baselines on whole hosts, in virtual time.

Each run has the same seeded load and faults, so that figures repeat.
"""

import json
import multiprocessing
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from absl import flags

from measure.fleet_day import DayResult, day_cases, run_day
from measure.plots import draw
from measure.report import describe_run, print_tables, write_page
from measure.results import Result
from measure.scenarios import SCENARIOS
from measure.targets import judge
from measure.world import run_case

__all__ = ["main"]

_SEED = flags.DEFINE_integer("seed", 1, "Seed of load and faults.")
_SCENARIOS = flags.DEFINE_list("scenarios", [], "Scenarios to run; all if empty.")
_WORKERS = flags.DEFINE_integer("workers", 6, "Runs at a time.")
_FOLDER = flags.DEFINE_string("folder", "", "Folder for JSON, plots and page.")
_REPEATS = flags.DEFINE_bool("repeats", False, "Run all twice, and compare.")


@dataclass(frozen=True, slots=True)
class Job:
    """One run, named by scenario and policy."""

    scenario: str
    policy: str
    seed: int


def main(_: list[str]) -> None:
    """Run, print, and write what was asked for."""
    started = time.monotonic()
    jobs = _jobs(_SCENARIOS.value, _SEED.value)
    results = _run_all(jobs)
    seconds = time.monotonic() - started
    if _REPEATS.value:
        _check_same(results, _run_all(jobs))
    judgements = judge(results)
    print_tables(results, judgements, sys.stdout)
    if _FOLDER.value:
        _write(Path(_FOLDER.value), results, judgements, seconds)


def _jobs(names: list[str], seed: int) -> list[Job]:
    cases = {name: scenario.cases for name, scenario in SCENARIOS.items()}
    cases["fleet"] = day_cases()
    return [
        Job(name, policy, seed)
        for name, policies in cases.items()
        for policy in policies
        if not names or name in names
    ]


def _run_all(jobs: list[Job]) -> dict[str, dict[str, Result | DayResult]]:
    """Return the results by scenario and policy, in the order of the jobs."""
    # Sets of strings would else have another order in each process.
    os.environ["PYTHONHASHSEED"] = "0"
    context = multiprocessing.get_context("spawn")
    results: dict[str, dict[str, Result | DayResult]] = {}
    with ProcessPoolExecutor(_WORKERS.value, context) as pool:
        for job, result in zip(jobs, pool.map(_run, jobs), strict=True):
            results.setdefault(job.scenario, {})[job.policy] = result
    return results


def _run(job: Job) -> Result | DayResult:
    if job.scenario == "fleet":
        return run_day(replace(day_cases()[job.policy], seed=job.seed))
    case = SCENARIOS[job.scenario].cases[job.policy]
    return Result.from_world(run_case(replace(case, seed=job.seed)))


def _check_same(first: dict, second: dict) -> None:
    different = [
        f"{scenario} ({policy})"
        for scenario, policies in first.items()
        for policy, result in policies.items()
        if result != second[scenario][policy]
    ]
    if different:
        names = ", ".join(different)
        raise SystemExit(f"Two runs with the same seed differ: {names}.")
    print("Two runs with the same seed gave the same figures.")


def _write(folder: Path, results: dict, judgements: list, seconds: float) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    about = describe_run() | {
        "seed": _SEED.value,
        "seconds": round(seconds),
        "is_repeated": _REPEATS.value,
    }
    tables = {
        name: {policy: result.to_dict() for policy, result in policies.items()}
        for name, policies in results.items()
    }
    document = {"about": about, "scenarios": tables}
    (folder / "policies.json").write_text(json.dumps(document, indent=1) + "\n")
    plots = draw(results, folder)
    write_page(folder, about, results, judgements, plots)
