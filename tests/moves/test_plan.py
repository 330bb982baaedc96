"""Move plans decide each request once and respect deadlines and bandwidth.

A plan that exports too much would lose the caches that don't arrive in time.
"""

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.entities import ModelKey, Priority
from pepperstep.requests.move_planning import (
    POLICIES,
    LeavingUpstream,
    MoveKind,
    MoveReason,
    MoveTarget,
    MovingRequest,
    plan_always_finish,
    plan_always_recompute,
    plan_moves,
)

KEYS = (ModelKey("zaseki-7b", "", "1"), ModelKey("annuity-13b", "quotes", "2"))
BYTES_PER_TOKEN = 131_072.0


def leaver(name="a", seconds=10.0, bytes_per_second=1e9, zone="z1"):
    return LeavingUpstream(name, zone, seconds, bytes_per_second, BYTES_PER_TOKEN)


def target(name="t", zone="z2", room=4, models=KEYS):
    return MoveTarget(name, zone, frozenset(models), room)


def moving(number=0, **changes):
    values = {
        "id": f"r{number}",
        "upstream": "a",
        "model_key": KEYS[0],
        "priority": Priority.BATCH,
        "tokens": 1000,
        "remaining_tokens": 5000,
        "decode_seconds": 0.02,
        "prefill_seconds": 0.0002,
    }
    return MovingRequest(**(values | changes))


@pytest.mark.parametrize(
    ("request_changes", "leaver_changes", "targets", "kind", "reason"),
    [
        ({"remaining_tokens": 10}, {}, [target()], "finish", "ends_in_time"),
        ({}, {}, [target()], "export", "cache_arrives_in_time"),
        ({}, {"seconds": 0.1}, [target()], "recompute", "no_time_for_export"),
        ({}, {"bytes_per_second": 1e6}, [target()], "recompute", "no_time_for_export"),
        (
            {"priority": Priority.INTERACTIVE},
            {"bytes_per_second": 3e7},
            [target()],
            "recompute",
            "export_stalls_too_long",
        ),
        (
            {"cached_tokens": {"t": 1000}},
            {},
            [target()],
            "recompute",
            "nothing_to_export",
        ),
        ({"is_movable": False}, {}, [target()], "finish", "not_movable"),
        ({}, {}, [], "finish", "no_target"),
        ({}, {}, [target(models=KEYS[1:])], "finish", "no_target"),
        ({}, {}, [target("a")], "finish", "no_target"),
    ],
)
def test_decision_has_its_reason(
    request_changes, leaver_changes, targets, kind, reason
):
    moves = plan_moves([leaver(**leaver_changes)], [moving(**request_changes)], targets)
    assert [(move.kind, move.reason) for move in moves] == [(kind, reason)]


def test_exports_are_ordered_by_tokens_saved_per_byte():
    requests = [moving(0, cached_tokens={"t": 900}), moving(1), moving(2, tokens=3000)]
    moves = plan_moves([leaver(seconds=0.6)], requests, [target()])
    by_id = {move.request_id: move for move in moves}
    assert by_id["r2"].kind is by_id["r1"].kind is MoveKind.EXPORT
    assert by_id["r2"].arrives_at <= by_id["r1"].starts_at
    assert by_id["r0"].reason is MoveReason.NO_TIME_FOR_EXPORT


def test_requests_are_spread_by_free_slots_and_unaffected_zones_first():
    targets = [target("t1", room=2), target("t2", room=4), target("t3", "z1", 9)]
    moves = plan_moves([leaver()], [moving(n) for n in range(8)], targets)
    taken = [sum(move.target == t.name for move in moves) for t in targets]
    assert taken == [2, 4, 2]


def test_plan_is_the_baseline_if_that_recomputes_less():
    cached = moving(0, cached_tokens={"t1": 900})
    targets = [target("t1", room=1), target("t2", room=0)]
    moves = plan_moves([leaver(seconds=0.01)], [cached, moving(1)], targets)
    assert [move.recomputed for move in moves] == [100, 1000]


requests_of = st.builds(
    moving,
    number=st.integers(0, 10**6),
    upstream=st.sampled_from(["a", "b"]),
    model_key=st.sampled_from(KEYS),
    priority=st.sampled_from(Priority),
    tokens=st.integers(1, 20_000),
    remaining_tokens=st.integers(0, 4000),
    is_movable=st.booleans(),
    cached_tokens=st.dictionaries(st.sampled_from(["t0", "t1"]), st.integers(0, 9000)),
)
leavers_of = st.tuples(
    *(
        st.builds(
            leaver,
            name=st.just(name),
            zone=st.sampled_from(["z1", "z2"]),
            seconds=st.floats(0, 60),
            bytes_per_second=st.floats(1e5, 1e10),
        )
        for name in "ab"
    )
)
targets_of = st.lists(
    st.builds(
        target,
        name=st.sampled_from(["t0", "t1", "t2", "a", "b"]),
        zone=st.sampled_from(["z1", "z2"]),
        room=st.integers(-3, 8),
        models=st.sets(st.sampled_from(KEYS)),
    ),
    max_size=5,
    unique_by=lambda each: each.name,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    leavers=leavers_of,
    requests=st.lists(requests_of, max_size=12, unique_by=lambda each: each.id),
    targets=targets_of,
)
def test_plans_keep_their_promises(leavers, requests, targets):
    seconds = {each.name: each.seconds for each in leavers}
    by_id = {each.id: each for each in requests}
    models = {each.name: each.models for each in targets}
    planned = plan_moves(leavers, requests, targets)
    for policy in POLICIES.values():
        moves = policy(leavers, requests, targets)
        assert sorted(move.request_id for move in moves) == sorted(by_id)
        for move in moves:
            request = by_id[move.request_id]
            assert move.target not in ("a", "b")
            assert (move.target == "") == (move.kind is MoveKind.FINISH)
            if move.target:
                assert request.is_movable
                assert request.model_key in models[move.target]
    for name in seconds:
        exports = [m for m in planned if m.upstream == name and m.kind == "export"]
        exports.sort(key=lambda move: move.starts_at)
        ends = [0.0] + [move.arrives_at for move in exports]
        assert all(
            end <= move.starts_at for end, move in zip(ends[:-1], exports, strict=True)
        )
        assert ends[-1] <= seconds[name] or not exports
    least = plan_always_recompute(leavers, requests, targets)
    assert sum(m.recomputed for m in planned) <= sum(m.recomputed for m in least)
    waited = plan_always_finish(leavers, requests, targets)
    assert all(move.kind is MoveKind.FINISH for move in waited)
