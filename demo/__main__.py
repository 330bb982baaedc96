"""Runs both partners' load while the cloud reclaims one zone of each."""

import shutil
import statistics
import sys
import time
from collections import Counter
from pathlib import Path

from demo.launcher import Launcher, wait_ready
from demo.load import Load, Results
from demo.site import Site

FOLDER = Path(__file__).parent / "run"
_LOAD_SECONDS = 22.0
_RECLAIM_AFTER_SECONDS = 7.0
_NOTICE_SECONDS = 6.0
_RECLAIMED_ZONES = ("asahikawa-hall", "pasig-b")
_REFUSED_ZONES = ["hakodate-hall", "taguig-c"]
_MAX_ERRORS = 5


def main() -> int:
    """Run the demo.

    Return 0 if every accepted request was answered correctly and no quote ran twice.
    """
    shutil.rmtree(FOLDER, ignore_errors=True)
    with Launcher(FOLDER) as launcher:
        site = Site(FOLDER, launcher)
        _say("Starting 6 daemons, 6 engines, 2 services, a cloud and a weight store.")
        site.start()
        wait_ready(site.daemons)
        site.wait_served(20)
        time.sleep(3)
        results = _run_load(site)
        return _report(site, results)


def _run_load(site: Site) -> Results:
    load = Load(site.urls)
    started = time.monotonic()
    load.start()
    _say("Load of both partners is running.")
    is_reclaimed = False
    while (elapsed := time.monotonic() - started) < _LOAD_SECONDS:
        if elapsed > _RECLAIM_AFTER_SECONDS and not is_reclaimed:
            is_reclaimed = True
            _reclaim_zones(site)
        site.follow_cloud()
        time.sleep(0.5)
        if int(elapsed) % 5 == 0:
            _say(f"{elapsed:4.0f} s: {dict(load.results.counts)}")
    _say("Waiting for the last answers.")
    load.stop()
    return load.results


def _reclaim_zones(site: Site) -> None:
    site.refuse(_REFUSED_ZONES)
    for zone in _RECLAIMED_ZONES:
        hosts = site.reclaim(zone, _NOTICE_SECONDS)
        _say(f"The cloud reclaims {zone} in {_NOTICE_SECONDS} s: {hosts}.")
    _say(f"The cloud refuses to start hosts in {_REFUSED_ZONES}.")


def _report(site: Site, results: Results) -> int:
    runs = Counter(site.runs_of_quotes())
    quotes_run_twice = sum(count > 1 for count in runs.values())
    counts = results.counts
    for error in results.errors[:_MAX_ERRORS]:
        print(f"  {error}")
    p95_seconds = statistics.quantiles(results.first_tokens or [0.0, 0.0], n=20)[18]
    print(f"requests accepted:    {counts['accepted']} (refused: {counts['refused']})")
    print(f"answered whole:       {counts['whole']}")
    print(f"answered wrong:       {counts['wrong']}")
    print(f"lost:                 {counts['lost']}")
    print(f"run twice:            {quotes_run_twice} (of {len(runs)} quotes)")
    recomputed = site.metric("pepperstep_recomputed_tokens_total")
    print(f"tokens recomputed:    {recomputed:.0f}")
    print(f"cost of hosts:        {site.cost:.4f}")
    print(f"p95 to first token:   {p95_seconds * 1000:.0f} ms")
    is_whole = counts["whole"] == counts["accepted"] and counts["accepted"] > 0
    return 0 if is_whole and not quotes_run_twice else 1


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
