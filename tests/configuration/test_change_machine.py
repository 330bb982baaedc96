"""State machine of the configuration: conflicts, resends, permissions, snapshots.

Guards against two accepted changes from the same revision, against a resend that is
applied twice or gets another answer, and against changes beyond an operator's
rights. Concurrent operators, lost answers and restarts bring these about.
"""

import dataclasses

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.configuration import ConfigurationMachine, machine as machine_module
from pepperstep.configuration.changes import (
    ChangeStatus,
    decode_answer,
    encode_change,
)
from pepperstep.errors import Code, Failure
from pepperstep.splices import apply_splices, make_splice
from tests.configuration.texts import BANTAYOG, BASE_TEXT, KITAHARA, change


class Log:
    """State machines of several control hosts that apply the same commands."""

    def __init__(self, count=2):
        self.machines = [ConfigurationMachine() for _ in range(count)]
        self.index = 0

    def send(self, value, last_text=None):
        self.index += 1
        command = encode_change(value, last_text)
        results = {each.apply(self.index, command) for each in self.machines}
        assert len(results) == 1
        return decode_answer(results.pop())

    def restart(self):
        """Replace all machines by ones restored from a snapshot."""
        data = self.machines[0].snapshot()
        for number in range(len(self.machines)):
            self.machines[number] = ConfigurationMachine()
            self.machines[number].restore(data)
            assert self.machines[number].snapshot() == data

    @property
    def configuration(self):
        return self.machines[0].configuration


@pytest.fixture
def log():
    log = Log()
    for revision, (name, text) in enumerate(
        [("base", BASE_TEXT), ("kitahara", KITAHARA), ("bantayog", BANTAYOG)]
    ):
        answer = log.send(change(name, text, revision))
        assert (answer.status, answer.revision) == ("accepted", revision + 1)
    return log


def add_workspace(text, number):
    return text + f"[workspaces.more-{number}]\n"


def test_first_of_concurrent_changes_wins_and_is_reported_to_the_others(log):
    first = change("kitahara", add_workspace(KITAHARA, 1), 3, change_id="first")
    second = change("kitahara", add_workspace(KITAHARA, 2), 3, change_id="second")
    assert log.send(first).revision == 4
    lost = log.send(second)
    assert (lost.status, lost.revision) == (ChangeStatus.CONFLICT, 4)
    winner = lost.winner
    assert (winner.revision, winner.change_id, winner.operator) == (
        4,
        "first",
        "sapporo",
    )
    assert "more-1" in log.configuration.workspaces
    assert "more-2" not in log.configuration.workspaces
    # A change of another document from the same revision doesn't conflict.
    assert log.send(change("bantayog", add_workspace(BANTAYOG, 3), 3)).is_accepted
    # The same content from the same revision counts as the same change.
    again = log.send(
        change("kitahara", add_workspace(KITAHARA, 1), 3, change_id="third")
    )
    assert (again.status, again.revision, again.winner) == ("accepted", 4, winner)
    # The operator can't have read a future revision.
    ahead = log.send(change("kitahara", add_workspace(KITAHARA, 5), 99))
    assert ahead.status == ChangeStatus.CONFLICT


@pytest.mark.parametrize("is_restarted", [False, True])
def test_resend_gets_its_first_answer(log, is_restarted):
    changes = [
        change("kitahara", add_workspace(KITAHARA, 1), 3, change_id="accepted"),
        change("kitahara", add_workspace(KITAHARA, 2), 3, change_id="conflict"),
        change("kitahara", "site = 3", 4, change_id="invalid"),
        change("base", BASE_TEXT, 4, change_id="forbidden", operator="manila"),
    ]
    answers = [log.send(each) for each in changes]
    assert [answer.status for answer in answers] == [each.change_id for each in changes]
    if is_restarted:
        log.restart()
    log.send(change("kitahara", add_workspace(KITAHARA, 3), 4, change_id="later"))
    assert [log.send(each) for each in changes] == answers
    # A resend as a splice instead of the whole text gets the same answer.
    assert log.send(changes[0], last_text=KITAHARA) == answers[0]
    assert log.configuration.revision == 5
    reused = change("kitahara", add_workspace(KITAHARA, 9), 5, change_id="accepted")
    assert log.send(reused).status == ChangeStatus.ID_REUSED


def test_answers_are_bounded_and_changes_never_applied_twice(log, monkeypatch):
    monkeypatch.setattr(machine_module, "_MAX_ANSWERS_PER_SITE", 3)
    monkeypatch.setattr(machine_module, "_MAX_ANSWER_AGE_REVISIONS", 8)
    old = change("kitahara", add_workspace(KITAHARA, 0), 3, change_id="old")
    other = change("bantayog", add_workspace(BANTAYOG, 99), 3, change_id="other")
    answers = [log.send(old), log.send(other)]
    for number in range(3):
        log.send(change("kitahara", add_workspace(KITAHARA, number), 5 + number))
    # One site's changes evict only answers of the same site.
    assert log.send(other) == answers[1]
    assert log.send(old).status == ChangeStatus.CONFLICT
    for number in range(8):
        log.send(change("kitahara", add_workspace(KITAHARA, number), 8 + number))
    # The answer was dropped, but the change is still the last one of its document.
    answer = log.send(other)
    assert (answer.status, answer.revision) == ("accepted", answers[1].revision)
    assert (answer.winner.change_id, log.configuration.revision) == ("other", 16)
    assert len(log.machines[0]._answers.records()) <= 6
    log.restart()
    assert log.send(old).status == ChangeStatus.CONFLICT


def test_partner_can_change_only_its_own_overlay(log):
    before = log.machines[0].snapshot
    for document in ("base", "kitahara"):
        text = BASE_TEXT if document == "base" else KITAHARA
        foreign_document = change(
            document, text, 3, operator="manila", site="bantayog", change_id=document
        )
        assert log.send(foreign_document).status == ChangeStatus.FORBIDDEN
    wrong_site = change("kitahara", KITAHARA, 3, operator="manila", change_id="lied")
    assert log.send(wrong_site).status == ChangeStatus.FORBIDDEN
    foreign_entry = change(
        "bantayog", BANTAYOG + "[deployments.zaseki]\nmax_replicas=1", 3
    )
    answer = log.send(foreign_entry)
    assert answer.status == ChangeStatus.INVALID
    assert [str(each) for each in answer.findings] == [
        "bantayog: deployments.zaseki: belongs to site kitahara"
    ]
    assert log.configuration.revision == 3
    assert before() == log.machines[1].snapshot()


def test_operator_removed_during_its_change(log):
    removed = BASE_TEXT.replace("[operators.manila]", "[operators.quezon]")
    assert log.send(change("base", removed, 3)).is_accepted
    late = change("bantayog", add_workspace(BANTAYOG, 1), 3)
    assert log.send(late).status == ChangeStatus.FORBIDDEN


def test_base_operator_cannot_revoke_its_own_access(log):
    text = BASE_TEXT.replace("may_change_base = true", "")
    answer = log.send(change("base", text, 3))
    assert [str(each) for each in answer.findings] == [
        "base: operators: root could not change the base any more"
    ]


def test_first_change_must_be_a_base_by_one_of_its_operators():
    log = Log()
    refused = [
        log.send(change("kitahara", KITAHARA, 0)),
        log.send(change("base", BASE_TEXT, 0, operator="sapporo")),
        log.send(change("base", "", 0, change_id="empty")),
    ]
    assert [answer.status for answer in refused] == ["forbidden", "invalid", "invalid"]
    assert log.send(change("base", BASE_TEXT, 0, change_id="right")).is_accepted


def test_overlay_is_removed_and_restored(log):
    assert log.send(change("kitahara", "", 3)).is_accepted
    assert "desks" not in log.configuration.workspaces
    log.restart()
    late = change("kitahara", KITAHARA, 3, change_id="late")
    assert log.send(late).status == ChangeStatus.CONFLICT
    assert log.send(change("kitahara", KITAHARA, 4, change_id="new")).is_accepted


def test_damaged_commands_and_snapshots(log):
    answer = decode_answer(log.machines[0].apply(9, b"\xff\xff"))
    assert answer.status == ChangeStatus.INVALID
    wrong = encode_change(change("kitahara", add_workspace(KITAHARA, 1), 3), BASE_TEXT)
    answer = decode_answer(log.machines[0].apply(9, wrong))
    assert "is not what was sent" in str(answer.findings[0])
    with pytest.raises(Failure) as caught:
        log.machines[0].restore(b"\xff")
    assert caught.value.code == Code.CORRUPT_STORAGE


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"change_id": ""}, Code.INVALID_REQUEST),
        ({"change_id": "x" * 201}, Code.INVALID_REQUEST),
        ({"operator": ""}, Code.INVALID_REQUEST),
        ({"from_revision": -1}, Code.INVALID_REQUEST),
        ({"from_revision": 2**64}, Code.INVALID_REQUEST),
        ({"text": "\ud800"}, Code.INVALID_REQUEST),
        ({"text": "é" * 200_000}, Code.BODY_TOO_LARGE),
    ],
)
def test_invalid_changes_are_not_encoded(fields, code):
    value = dataclasses.replace(change("kitahara", KITAHARA, 3), **fields)
    with pytest.raises(Failure) as caught:
        encode_change(value)
    assert caught.value.code == code


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.text("abé\n", max_size=12), st.text("abé\n", max_size=12))
def test_splice_turns_one_text_into_the_other(old, new):
    splice = make_splice(old, new)
    assert apply_splices(old, [splice]) == new
    assert len(splice.inserted) <= len(new)


_COMMANDS = st.tuples(
    st.sampled_from(["kitahara", "bantayog"]),
    st.integers(3, 8),
    st.integers(0, 3),
    st.integers(0, 9),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(_COMMANDS, max_size=15), st.sets(st.integers(0, 14)))
def test_any_order_of_changes_and_restarts(commands, restarts):
    log = Log()
    for revision, pair in enumerate([("base", BASE_TEXT), ("kitahara", KITAHARA)]):
        log.send(change(*pair, revision))
    log.send(change("bantayog", BANTAYOG, 2))
    answers = {}
    for step, (document, from_revision, number, change_id) in enumerate(commands):
        if step in restarts:
            log.restart()
        text = add_workspace(KITAHARA if document == "kitahara" else BANTAYOG, number)
        value = change(document, text, from_revision, change_id=str(change_id))
        before = log.configuration.revision
        answer = log.send(value)
        assert log.configuration.revision - before in (0, 1)
        key = (value.operator, value.change_id)
        first = answers.setdefault(key, (value, answer))
        if first[0] == value:
            assert answer == first[1]
        else:
            assert answer.status == ChangeStatus.ID_REUSED
    won = [
        (value.document, answer.revision)
        for value, answer in answers.values()
        if answer.is_accepted and answer.winner is None
    ]
    assert len(won) == len(set(won)) == log.configuration.revision - 3
