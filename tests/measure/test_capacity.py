"""Capacity measurements give plausible figures.

The committed slopes must follow from the committed points.
"""

import json
import math
from pathlib import Path

import pytest

from measure import (
    capacity_configuration,
    capacity_fleet,
    capacity_hosts,
    capacity_log,
    capacity_requests,
    capacity_upstreams,
)
from measure.capacity import SLOPES, points_of, slopes_of
from measure.capacity_lines import Point, fit, trace_bytes

COMMITTED = Path(__file__).parents[2] / "docs" / "measurements" / "capacity.json"


def line_points(*pairs):
    return [Point("p", {"n": n}, {"cost": cost}) for n, cost in pairs]


@pytest.mark.parametrize(
    ("pairs", "base", "slope", "worst"),
    [
        (((1, 5), (2, 7), (4, 11)), 3, 2, 0.0),
        (((1, 4), (2, 4), (9, 4)), 4, 0, 0.0),
        (((0, 0), (1, 3), (2, 0)), 1, 0, 1e12),
    ],
)
def test_line(pairs, base, slope, worst):
    line = fit(line_points(*pairs), "n", "cost")
    assert line.base == pytest.approx(base)
    assert line.slope == pytest.approx(slope, abs=1e-12)
    assert line.worst == pytest.approx(worst, abs=1e-9)
    assert line.at(10) == pytest.approx(base + 10 * slope)


def test_traced_bytes():
    with trace_bytes() as taken:
        kept = bytes(1_000_000)
    assert 1_000_000 <= taken[0] < 1_010_000
    del kept


@pytest.mark.parametrize(
    ("measure", "sizes", "checks"),
    [
        # The number of messages per host doesn't depend on the number of hosts.
        (
            capacity_hosts.measure_membership,
            (8,),
            {"messages": (4, 7), "bytes": (150, 300)},
        ),
        (capacity_hosts.measure_zone_loss, (12,), {"known_after": (1, 10)}),
        (capacity_hosts.measure_restarts, (8,), {"known_after": (0, 2)}),
        (capacity_hosts.measure_cut, (12, 3, 20.0), {"wrongly_dead": (0, 0)}),
        (capacity_upstreams.measure_registry, (4, 8), {"known": (8, 8)}),
        # At most one message and its answer from each host to each other host.
        (capacity_upstreams.measure_verdicts, (6,), {"messages": (10, 60)}),
        (capacity_upstreams.measure_kept_items, (6, 4), {"messages": (0, 0)}),
        (capacity_requests.measure_view, (20, 2), {"processor": (0, 0.1)}),
        (
            capacity_configuration.measure_configuration_cut,
            (12,),
            {"inside_after_heal": (0, 3), "share_that_said_so": (1, 1)},
        ),
        (capacity_upstreams.measure_known, (20,), {"memory_bytes": (4e3, 2e5)}),
        (capacity_log.measure_log, (3, 0), {"leader_bytes": (300, 3000)}),
        (capacity_log.measure_claim_messages, (4,), {"commands_a_claim": (1, 2)}),
        (
            capacity_configuration.measure_configuration,
            (8, 0.5),
            {"in_force_after": (0, 1)},
        ),
        (capacity_log.measure_claim_machine, (200,), {"command_bytes": (100, 300)}),
        (capacity_configuration.measure_reading, (10,), {"text_bytes": (500, 3000)}),
        (
            capacity_requests.measure_requests,
            (4, 20),
            {"bytes_a_request": (800, 9000), "messages_a_request": (10, 80)},
        ),
        (capacity_fleet.measure_fleet, (66, 3), {"snapshot_bytes": (2000, 50_000)}),
    ],
)
def test_run(measure, sizes, checks):
    figures = measure(*sizes).figures
    assert all(math.isfinite(value) for value in figures.values())
    for name, (lower, upper) in checks.items():
        assert lower <= figures[name] <= upper, (name, figures)


def test_committed_slopes_follow_from_their_points():
    result = json.loads(COMMITTED.read_text())
    points = points_of(result["sections"])
    lines = json.loads(json.dumps(slopes_of(points)))
    assert lines == result["slopes"]
    assert len(lines) == len(SLOPES)
    assert all(len(line["sizes"]) >= 3 for line in lines)
