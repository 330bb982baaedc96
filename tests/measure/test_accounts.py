"""Arithmetic of the measurements: percentiles, shares, token ledger and load."""

import math

import pytest

from measure.accounts import Ledger, Sample, held_share, percentile, served_share
from measure.mix import KITAHARA, PARTNERS, Speed, arrivals
from measure.report import replace_section


def make_sample(**changes) -> Sample:
    values = {
        "id": "a",
        "partner": "kitahara",
        "type": "layout",
        "workspace": "weddings",
        "priority": "interactive",
        "asked_at": 0.0,
        "deadline": 10.0,
        "work": 2.0,
        "is_accepted": True,
    }
    return Sample(**(values | changes))


@pytest.mark.parametrize(
    ("values", "share", "expected"),
    [
        ([], 0.5, 0.0),
        ([3.0], 0.99, 3.0),
        ([4.0, 1.0, 3.0, 2.0], 0.5, 2.0),
        (list(range(1, 101)), 0.95, 95),
        (list(range(1, 101)), 0.99, 99),
        (list(range(1, 11)), 1.0, 10),
    ],
)
def test_percentile_is_nearest_rank(values, share, expected):
    assert percentile(values, share) == expected


@pytest.mark.parametrize(
    ("changes", "is_lost"),
    [
        ({"is_answered": True}, False),
        ({"code": "deadline_expired"}, False),
        ({"code": "upstream_failed"}, True),
        ({"code": "overloaded", "is_accepted": False}, False),
        ({"is_accepted": False}, True),
        ({}, True),
    ],
)
def test_request_without_truthful_outcome_is_lost(changes, is_lost):
    assert make_sample(**changes).is_lost is is_lost


def test_refused_and_late_requests_lower_held_share():
    good = {"is_answered": True, "first_token": 0.5, "gaps": [0.04, 0.06]}
    samples = [
        make_sample(**good),
        make_sample(**(good | {"first_token": 0.6})),
        make_sample(**(good | {"gaps": [0.1]})),
        make_sample(is_accepted=False, code="overloaded"),
        make_sample(work=0.0),
    ]
    assert held_share(samples, 0.54, 0.053) == 0.25


def test_served_share_counts_only_requests_that_are_due():
    served = make_sample(is_answered=True, ended_at=9.0)
    late = make_sample(is_answered=True, ended_at=11.0)
    assert served_share([served, late], math.inf) == 0.5
    assert served_share([served, late], 2.0) == 1.0
    assert served_share([late], 1.0) == 0.0


def test_ledger_separates_first_computation_from_recomputation():
    ledger = Ledger()
    ledger.window = (5.0, 20.0)
    for attempt, start, end, tokens in [
        ("host.1.1.1", 4.0, 6.0, 100),
        ("host.1.1.2", 10.0, 13.0, 120),
        ("host.2.1.1", 18.0, 25.0, 50),
    ]:
        ledger.note_start(attempt, start)
        ledger.note_computed(attempt, tokens)
        ledger.note_end(attempt, end)
    ledger.note_end("host.3.1.1", 30.0)
    assert (ledger.first_tokens, ledger.recomputed_tokens) == (150, 120)
    assert ledger.held == {"host.1": 4.0, "host.2": 2.0}
    assert ledger.retry_share == 0.5


@pytest.mark.parametrize("partner", PARTNERS, ids=lambda partner: partner.name)
def test_load_is_reproducible_and_keeps_the_requested_rate(partner):
    speed = Speed()
    first = list(arrivals(partner, speed, 1.0, 400.0, 1))
    assert first == list(arrivals(partner, speed, 1.0, 400.0, 1))
    assert first != list(arrivals(partner, speed, 1.0, 400.0, 2))
    work = sum(
        each.type.work(speed, each.request.max_tokens)
        for each in first
        if not each.type.is_call
    )
    assert work == pytest.approx(partner.engines * speed.slots * 400, rel=0.1)


def test_prompts_of_a_family_share_a_prefix():
    requests = [
        each.request
        for each in arrivals(KITAHARA, Speed(), 1.0, 60.0, 1)
        if each.type.name == "guest-list" and each.workspace == "weddings"
    ]
    prefixes = {request.prompt[: 1300 * 4] for request in requests}
    assert len(prefixes) == 3 < len(requests)
    assert len({request.prompt for request in requests}) == len(requests)


def test_section_replaces_its_earlier_text(tmp_path):
    page = tmp_path / "README.md"
    for title, line in [("One", "old"), ("Two", "kept"), ("One", "new")]:
        replace_section(page, title, [line])
    assert page.read_text() == "# Measurements\n\n## One\n\nnew\n\n## Two\n\nkept\n"
