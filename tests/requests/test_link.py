"""How an owner sends to its second, and what it takes as acknowledged."""

import trio

from pepperstep.entities import Priority, Request, RequestKind
from pepperstep.fakes import FakeTimers
from pepperstep.proto import journal_pb2
from pepperstep.requests.link import JournalLink
from pepperstep.requests.run import Run


class Second:
    """Peer network that acknowledges batches, and keeps them."""

    def __init__(self):
        self.batches = []
        self.answers = trio.Event()
        self.answers.set()

    async def call(self, peer, message, timeout):
        """Answer as a second does."""
        if isinstance(message, journal_pb2.OpenLink):
            return journal_pb2.LinkOpened(second_incarnation=7)
        copy = journal_pb2.JournalBatch()
        copy.CopyFrom(message)
        self.batches.append(copy)
        await trio.sleep(0.001)
        await self.answers.wait()
        return journal_pb2.JournalAck()


def make_run(number: int = 0, prompt: str = "") -> Run:
    return Run(
        Request(
            f"a.{number}",
            "planners",
            RequestKind.CHAT,
            "zaseki-model",
            Priority.STANDARD,
            deadline=2e9,
            prompt=prompt,
        )
    )


def make_link(second: Second) -> JournalLink:
    message = journal_pb2.Link(owner="a", incarnation=3, second="b", generation=1)
    return JournalLink(message, second, FakeTimers(), lambda link, is_taken: None)


async def test_tokens_share_batches(autojump_clock, nursery):
    second = Second()
    link = make_link(second)
    runs = [make_run(number) for number in range(20)]
    nursery.start_soon(link.run)
    for run in runs:
        link.add(run)
    await trio.sleep(0.1)
    sent = len(second.batches)
    for _ in range(100):
        for run in runs:
            run.tokens.append("seat")
            link.mark_changed(run)
        await trio.sleep(0.01)
    await trio.sleep(0.1)
    assert [run.released for run in runs] == [100] * 20
    # A second of 2,000 chunks, in batches 16 ms apart.
    assert len(second.batches) - sent <= 65
    assert sum(len(batch.checkpoints) for batch in second.batches) <= 65 * 20


async def test_large_records_go_in_several_batches(autojump_clock, nursery):
    second = Second()
    link = make_link(second)
    runs = [make_run(number, "x" * 300_000) for number in range(10)]
    for run in runs:
        link.add(run)
    nursery.start_soon(link.run)
    await trio.sleep(1)
    assert all(run.is_recorded for run in runs)
    assert max(batch.ByteSize() for batch in second.batches) < 900_000


async def test_acknowledgement_to_an_ended_link_does_not_count(autojump_clock, nursery):
    second = Second()
    link = make_link(second)
    run = make_run()
    run.tokens.append("seat")
    link.add(run)
    second.answers = trio.Event()
    nursery.start_soon(link.run)
    await trio.sleep(0.1)
    link.end(is_taken=False)
    second.answers.set()
    await trio.sleep(0.1)
    assert (run.released, run.is_recorded) == (0, False)


async def test_second_forgets_what_was_given_up(autojump_clock, nursery):
    second = Second()
    link = make_link(second)
    nursery.start_soon(link.run)
    run, again = make_run(), make_run()
    link.add(run)
    await trio.sleep(0.1)
    assert not link.forget(again)
    assert link.forget(run)
    await trio.sleep(0.1)
    link.add(again)
    assert not link.remove(run)
    await trio.sleep(0.1)
    assert [list(batch.forgotten) for batch in second.batches] == [[], ["a.0"], []]
    assert again.is_recorded


async def test_nothing_is_released_before_earlier_links_are_dropped(autojump_clock):
    run = make_run()
    prior = journal_pb2.Link(owner="a", second="b")
    run.add_prior_link(prior, 0.0)
    run.tokens.append("seat")
    run.acknowledge(1, False, run.version)
    assert (run.released, run.is_recorded, run.is_confirmed) == (0, True, False)
    run.remove_prior_link(prior)
    assert (run.released, run.is_confirmed) == (1, True)
