"""A backup host handles delayed, duplicate and unknown messages.

Such messages must not roll back recorded tokens, revive ended links, or let two hosts
own the same request.
"""

import contextlib

import msgspec
import pytest
import trio

from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeAgreement, FakeDirectory, FakeLog, FakeTimers
from pepperstep.proto import journal_pb2
from pepperstep.requests import LINK_MACHINE, LinkMachine
from pepperstep.requests.backup_records import BackupRecords
from pepperstep.requests.links import LinkDecisions, reverse_link
from pepperstep.requests.takeovers import TakeoverQueries

INCARNATION = 7
REQUEST = {
    "id": "a.1",
    "workspace": "planners",
    "kind": "chat",
    "target": "zaseki-model",
    "priority": 0,
    "deadline": 1_900_000_000,
}
_State = journal_pb2.JournalAck


def link(generation: int = 1, incarnation: int = INCARNATION, second: str = "b"):
    return journal_pb2.Link(
        owner="a",
        incarnation=3,
        second=second,
        generation=generation,
        second_incarnation=incarnation,
    )


def record_batch(sequence: int, text: str = "", priors=(), **options):
    state = journal_pb2.RequestRecord(
        request_id="a.1",
        epoch=1,
        request=msgspec.json.encode(REQUEST),
        tokens=text,
        priors=priors,
    )
    batch_link = options.get("link", link())
    return journal_pb2.JournalBatch(link=batch_link, sequence=sequence, records=[state])


def checkpoint_batch(sequence: int, position: int, text: str, attempt: int = 1):
    state = journal_pb2.Checkpoint(
        request_id="a.1",
        position=position,
        tokens=text,
        attempt=attempt,
        is_dispatched=True,
    )
    return journal_pb2.JournalBatch(link=link(), sequence=sequence, checkpoints=[state])


def make_backup_records(log: FakeLog | None = None) -> BackupRecords:
    log = log or FakeLog()
    log.register(LINK_MACHINE, LinkMachine())
    decisions = LinkDecisions(FakeAgreement("b", log))
    takeovers = TakeoverQueries(None, FakeDirectory([]))
    return BackupRecords(INCARNATION, FakeTimers(), decisions, takeovers)


async def open_link(records: BackupRecords, **options) -> None:
    message = journal_pb2.OpenLink(link=link(**options))
    await records.handle_open(message, "a")


async def send(records: BackupRecords, batch) -> str:
    try:
        ack = await records.handle_batch(batch, "a")
    except Failure as failure:
        return failure.code
    return "missing" if ack.missing else _State.State.Name(ack.state)


@pytest.mark.parametrize(
    ("batches", "answers", "tokens", "is_dispatched"),
    [
        ([record_batch(1), checkpoint_batch(2, 0, "ab")], ["RECORDED"] * 2, "ab", True),
        # A delayed full record would roll back the tokens and the dispatch.
        (
            [record_batch(1), checkpoint_batch(3, 0, "ab"), record_batch(2)],
            ["RECORDED", "RECORDED", Code.FENCED],
            "ab",
            True,
        ),
        (
            [record_batch(1), checkpoint_batch(2, 0, "ab")] * 2,
            ["RECORDED"] * 2 + [Code.FENCED, "RECORDED"],
            "ab",
            True,
        ),
        (
            [record_batch(1, "ab"), checkpoint_batch(2, 1, "bcd")],
            ["RECORDED"] * 2,
            "abcd",
            True,
        ),
        (
            [record_batch(1), checkpoint_batch(2, 1, "b")],
            ["RECORDED", "missing"],
            "",
            False,
        ),
        (
            [checkpoint_batch(1, 0, "a"), record_batch(2, "a")],
            ["missing", "RECORDED"],
            "a",
            False,
        ),
        ([record_batch(1, link=link(generation=2))], ["UNKNOWN"], None, None),
        (
            [record_batch(1, link=link(incarnation=INCARNATION - 1))],
            ["UNKNOWN"],
            None,
            None,
        ),
    ],
)
async def test_batches(autojump_clock, batches, answers, tokens, is_dispatched):
    records = make_backup_records()
    await open_link(records)
    assert [await send(records, batch) for batch in batches] == answers
    runs = await records.take_over(link())
    found = [("".join(run.tokens), run.is_dispatched) for run in runs]
    assert found == ([] if tokens is None else [(tokens, is_dispatched)])


async def test_ended_links_are_not_revived(autojump_clock):
    records = make_backup_records()
    await open_link(records)
    await send(records, record_batch(1))
    assert len(await records.take_over(link())) == 1
    assert await records.take_over(link()) == []
    assert await send(records, record_batch(2)) == "TAKEN"
    with pytest.raises(Failure):
        await open_link(records)
    forget = journal_pb2.ForgetLink(link=link(generation=2))
    await records.handle_forget(forget, "a")
    records.add_runs(link(generation=2), [])
    assert records.links_to_take_over(lambda owner, incarnation: True) == []


async def test_takeover_without_quorum_is_retried(autojump_clock):
    log = FakeLog()
    records = make_backup_records(log)
    await open_link(records)
    await send(records, record_batch(1))
    log.has_quorum = False
    with pytest.raises(Failure):
        await records.take_over(link())
    # The takeover may have been granted, so nothing may be recorded any longer.
    assert await send(records, record_batch(2)) == Code.NOT_READY
    assert records.links_to_take_over(lambda owner, incarnation: False) == [link()]
    log.has_quorum = True
    assert len(await records.take_over(link())) == 1


@pytest.mark.parametrize(
    "prior_state", ["dropped", "taken with it", "taken without it"]
)
async def test_record_is_owned_unless_taken_over_with_prior_link(
    autojump_clock, prior_state
):
    records = make_backup_records()
    earlier, later = link(1), link(2)
    for generation in (1, 2):
        await open_link(records, generation=generation)
    if prior_state == "taken with it":
        await send(records, record_batch(1, "a"))
    await send(records, record_batch(1, "ab", [earlier], link=later))
    taken_runs = []
    if prior_state != "dropped":
        taken_runs = await records.take_over(earlier)
    assert len(taken_runs) == (prior_state == "taken with it")
    assert len(await records.take_over(later)) == (prior_state != "taken with it")
    assert await records.take_over(earlier) == []


async def test_links_that_depend_on_each_other_are_taken_over(autojump_clock):
    records = make_backup_records()
    for generation, request_id, other in ((1, "a.1", "a.2"), (2, "a.2", "a.1")):
        await open_link(records, generation=generation)
        batch = record_batch(1, link=link(generation))
        batch.records[0].request_id = request_id
        moved = record_batch(1, priors=[link(3 - generation)]).records[0]
        moved.request_id = other
        batch.records.append(moved)
        assert await send(records, batch) == "RECORDED"
    runs = []
    async with trio.open_nursery() as nursery:

        async def take(generation: int) -> None:
            while not records.has_taken_over(link(generation)):
                with contextlib.suppress(Failure):
                    runs.extend(await records.take_over(link(generation)))

        nursery.start_soon(take, 1)
        nursery.start_soon(take, 2)
    assert len(runs) == 2


def test_reverse_links_are_unique():
    links = [link(), link(2), link(incarnation=8), link(second="c")]
    reversed_links = {reverse_link(each).SerializeToString() for each in links}
    assert len(reversed_links) == len(links)
    assert reverse_link(link()).owner == "b"
