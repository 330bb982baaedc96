"""Counts of the runs that a content has broken, as hosts keep and exchange them."""

import pytest

from pepperstep.coordination.suspects import NO_LOSSES, SuspectContents

CONTENT = 7


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.time = 100.0

    def __call__(self) -> float:
        return self.time


def lose(contents: SuspectContents, times: int, digest: int = CONTENT) -> None:
    """Record losses that follow each other."""
    for _ in range(times):
        contents.record_loss(digest, contents.count_of(digest))


def test_third_successive_loss_blocks_a_content():
    contents = SuspectContents(Clock())
    lose(contents, 2)
    assert contents.blocked_seconds(CONTENT) == 0.0
    lose(contents, 1)
    assert contents.blocked_seconds(CONTENT) == 60.0
    assert contents.blocked_seconds(CONTENT + 1) == 0.0


def test_runs_that_break_at_the_same_time_count_once():
    contents = SuspectContents(Clock())
    for _ in range(5):
        contents.record_loss(CONTENT, NO_LOSSES)
    assert contents.count_of(CONTENT).losses == 1


def test_answer_clears_losses_also_those_of_runs_begun_before():
    contents = SuspectContents(Clock())
    lose(contents, 2)
    before = contents.count_of(CONTENT)
    assert contents.record_answer(CONTENT)
    assert not contents.record_loss(CONTENT, before)
    assert contents.count_of(CONTENT).losses == 0
    assert not contents.record_answer(CONTENT)


def test_each_loss_after_a_block_makes_the_next_one_longer():
    clock = Clock()
    contents = SuspectContents(clock)
    lose(contents, 3)
    durations = []
    for _ in range(4):
        durations.append(contents.blocked_seconds(CONTENT))
        clock.time += durations[-1]
        assert contents.blocked_seconds(CONTENT) == 0.0
        contents.forget_old()
        lose(contents, 1)
    assert durations == [60.0, 240.0, 600.0, 600.0]


def test_blocks_end_on_one_host_after_the_other():
    clock = Clock()
    first, second = SuspectContents(clock), SuspectContents(clock, stagger=0.5)
    for contents in (first, second):
        lose(contents, 3)
    assert second.blocked_seconds(CONTENT) == first.blocked_seconds(CONTENT) + 30.0


def test_merged_counts_keep_the_highest_and_its_age():
    clock = Clock()
    sender, receiver = SuspectContents(clock), SuspectContents(clock)
    lose(sender, 3)
    lose(receiver, 2)
    clock.time += 10.0
    receiver.merge(sender.messages_since(0), age=5.0)
    assert receiver.blocked_seconds(CONTENT) == pytest.approx(45.0)
    sender.merge(receiver.messages_since(0))
    assert sender.blocked_seconds(CONTENT) == pytest.approx(50.0)


def test_only_changes_since_a_version_are_sent():
    contents = SuspectContents(Clock())
    lose(contents, 1)
    version = contents.version
    assert contents.messages_since(version) == []
    lose(contents, 1, CONTENT + 1)
    [message] = contents.messages_since(version)
    assert message.digest == CONTENT + 1


def test_first_losses_wake_nobody():
    calls = []
    contents = SuspectContents(Clock())
    contents.subscribe(lambda: calls.append(contents.version))
    lose(contents, 1)
    assert calls == []
    lose(contents, 1)
    contents.record_answer(CONTENT)
    assert calls == [2, 3]


def test_contents_with_most_losses_are_kept():
    contents = SuspectContents(Clock())
    lose(contents, 2)
    for digest in range(1_000, 2_500):
        lose(contents, 1, digest)
    assert len(contents.digests()) == 1_000
    assert contents.count_of(CONTENT).losses == 2
