"""Splices turn any document into any other, and stay small for small changes."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.splices import Splice, apply_splices, make_splices

_DOCUMENTS = st.lists(
    st.sampled_from(
        [b'{"a":1},', b'{"b":2},', b'{"c":[{"d":3},{"d":4}]},', b"x\n", b"y"]
    ),
    max_size=12,
).map(b"".join)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(_DOCUMENTS, _DOCUMENTS)
def test_splices_turn_one_document_into_the_other(old, new):
    assert apply_splices(old, make_splices(old, new)) == new


def make_routes(count, **changes):
    routes = [{"name": f"r{number}", "timeout_ms": 100} for number in range(count)]
    for key, value in changes.items():
        routes[int(key[1:])] |= {"timeout_ms": value}
    return json.dumps({"version": len(changes), "routes": routes}).encode()


def test_distant_changes_become_separate_splices():
    old, new = make_routes(1000), make_routes(1000, r500=7, r999=8)
    splices = make_splices(old.replace(b" ", b""), new.replace(b" ", b""))
    assert sum(len(each.inserted) for each in splices) < 20
    assert sum(each.removed for each in splices) < 20


def test_splices_hold_only_removed_and_added_members():
    members = [b'{"name":"r%d"},' % number for number in range(500)]
    old = b"".join(members)
    new = b"".join(
        members[:100] + members[101:400] + [b'{"name":"new"},'] + members[400:]
    )
    splices = make_splices(old, new)
    assert apply_splices(old, splices) == new
    assert sum(len(each.inserted) for each in splices) < 30


@pytest.mark.parametrize(
    "splices",
    [
        [Splice(4, 2, b"")],
        [Splice(9, 0, b"x")],
        [Splice(2, 2, b""), Splice(3, 0, b"x")],
        [Splice(3, 0, b"x"), Splice(1, 0, b"y")],
    ],
)
def test_invalid_splices_are_rejected(splices):
    with pytest.raises(ValueError, match="doesn't fit"):
        apply_splices(b"abcde", splices)
