"""Command line of the soak: `python -m soak run` and `python -m soak report`."""

import argparse
import shutil
import sys
import tempfile
from pathlib import Path

import trio

from soak.checks import judge
from soak.plan import Plan
from soak.report import Result, read_results, write_page
from soak.trial import run_plan

_FOLDER = Path(__file__).parent / "runs"
_RESULTS = "results.jsonl"


def main() -> int:
    """Run seeds, or write the report; return 1 if a seed failed."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run seeds one after the other")
    run.add_argument("--seed", type=int, required=True, help="first seed")
    run.add_argument("--count", type=int, default=1, help="number of seeds")
    run.add_argument("--seconds", type=float, default=25.0, help="time of the events")
    run.add_argument("--crowd", action="store_true", help="as many hosts as fit")
    run.add_argument("--daemon", type=Path, help="the hosts' program")
    run.add_argument("--keep", action="store_true", help="keep all logs")
    report = commands.add_parser("report", help="write a page over all results")
    for each in (run, report):
        each.add_argument("--folder", type=Path, default=_FOLDER, help="of results")
    arguments = parser.parse_args()
    if arguments.command == "report":
        print(write_page(read_results(arguments.folder / _RESULTS)))
        return 0
    arguments.folder.mkdir(parents=True, exist_ok=True)
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    results = [_run(seed, arguments) for seed in seeds]
    return int(any(each.failures for each in results))


def _run(seed: int, arguments: argparse.Namespace) -> Result:
    plan = Plan.from_seed(seed, arguments.seconds, is_crowded=arguments.crowd)
    print("\n".join(plan.lines()), flush=True)
    folder = Path(tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=arguments.folder))
    record = trio.run(run_plan, plan, folder, arguments.daemon)
    verdict = judge(record)
    options = f"{arguments.seconds:g} s{', crowd' if arguments.crowd else ''}"
    result = Result.from_verdict(record, verdict, options)
    if verdict.failures or arguments.keep:
        result.logs = folder.name
    else:
        shutil.rmtree(folder)
    result.save(arguments.folder / _RESULTS)
    print(result.line(), flush=True)
    for each in verdict.failures[:20]:
        print(f"  {each.at} s {each.host} {each.subject}: {each.rule}: {each.text}")
    return result


if __name__ == "__main__":
    sys.exit(main())
