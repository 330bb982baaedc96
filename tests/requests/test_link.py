"""An owner replicates its runs to a backup host in batches.

Tokens may be released to readers only if the current backup host has acknowledged them
and no earlier link can still be taken over.
"""

import trio

from pepperstep.entities import Priority, Request, RequestKind
from pepperstep.fakes import FakeTimers
from pepperstep.proto import journal_pb2
from pepperstep.requests.link import JournalLink
from pepperstep.requests.run import Run


class FakeBackup:
    """Peer network with one backup host, which records and acknowledges batches."""

    def __init__(self):
        self.batches = []
        self.answer_allowed = trio.Event()
        self.answer_allowed.set()

    async def call(self, peer, message, timeout):
        """Answer as a backup host does."""
        if isinstance(message, journal_pb2.OpenLink):
            return journal_pb2.LinkOpened(second_incarnation=7)
        copy = journal_pb2.JournalBatch()
        copy.CopyFrom(message)
        self.batches.append(copy)
        await trio.sleep(0.001)
        await self.answer_allowed.wait()
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


def make_link(backup: FakeBackup) -> JournalLink:
    message = journal_pb2.Link(owner="a", incarnation=3, second="b", generation=1)
    return JournalLink(message, backup, FakeTimers(), lambda link, is_taken: None)


async def test_tokens_share_batches(autojump_clock, nursery):
    backup = FakeBackup()
    link = make_link(backup)
    runs = [make_run(number) for number in range(20)]
    nursery.start_soon(link.run)
    for run in runs:
        link.add(run)
    await trio.sleep(0.1)
    sent = len(backup.batches)
    for _ in range(100):
        for run in runs:
            run.tokens.append("seat")
            link.mark_changed(run)
        await trio.sleep(0.01)
    await trio.sleep(0.1)
    assert [run.released for run in runs] == [100] * 20
    # 2,000 chunks in one second, in batches 16 ms apart.
    assert len(backup.batches) - sent <= 65
    assert sum(len(batch.checkpoints) for batch in backup.batches) <= 65 * 20


async def test_large_records_are_split_into_batches(autojump_clock, nursery):
    backup = FakeBackup()
    link = make_link(backup)
    runs = [make_run(number, "x" * 300_000) for number in range(10)]
    for run in runs:
        link.add(run)
    nursery.start_soon(link.run)
    await trio.sleep(1)
    assert all(run.is_recorded for run in runs)
    assert max(batch.ByteSize() for batch in backup.batches) < 900_000


async def test_late_acknowledgement_to_ended_link_releases_nothing(
    autojump_clock, nursery
):
    backup = FakeBackup()
    link = make_link(backup)
    run = make_run()
    run.tokens.append("seat")
    link.add(run)
    backup.answer_allowed = trio.Event()
    nursery.start_soon(link.run)
    await trio.sleep(0.1)
    link.end(is_taken=False)
    backup.answer_allowed.set()
    await trio.sleep(0.1)
    assert (run.released, run.is_recorded) == (0, False)


async def test_forgotten_run_is_removed_at_backup(autojump_clock, nursery):
    backup = FakeBackup()
    link = make_link(backup)
    nursery.start_soon(link.run)
    run, newer_run = make_run(), make_run()
    link.add(run)
    await trio.sleep(0.1)
    assert not link.forget(newer_run)
    assert link.forget(run)
    await trio.sleep(0.1)
    link.add(newer_run)
    assert not link.remove(run)
    await trio.sleep(0.1)
    assert [list(batch.forgotten) for batch in backup.batches] == [[], ["a.0"], []]
    assert newer_run.is_recorded


async def test_nothing_is_released_before_prior_links_are_dropped(autojump_clock):
    run = make_run()
    prior_link = journal_pb2.Link(owner="a", second="b")
    run.add_prior_link(prior_link, 0.0)
    run.tokens.append("seat")
    run.acknowledge(1, False, run.version)
    assert (run.released, run.is_recorded, run.is_confirmed) == (0, True, False)
    run.remove_prior_link(prior_link)
    assert (run.released, run.is_confirmed) == (1, True)
