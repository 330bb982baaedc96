"""What a second host makes of late, doubled and foreign messages."""

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

LIFE = 7
REQUEST = {
    "id": "a.1",
    "workspace": "planners",
    "kind": "chat",
    "target": "zaseki-model",
    "priority": 0,
    "deadline": 1_900_000_000,
}
_State = journal_pb2.JournalAck


def link(generation: int = 1, life: int = LIFE, second: str = "b"):
    return journal_pb2.Link(
        owner="a",
        incarnation=3,
        second=second,
        generation=generation,
        second_incarnation=life,
    )


def record(sequence: int, text: str = "", priors=(), **options):
    state = journal_pb2.RequestRecord(
        request_id="a.1",
        epoch=1,
        request=msgspec.json.encode(REQUEST),
        tokens=text,
        priors=priors,
    )
    batch_link = options.get("link", link())
    return journal_pb2.JournalBatch(link=batch_link, sequence=sequence, records=[state])


def step(sequence: int, position: int, text: str, attempt: int = 1):
    state = journal_pb2.Checkpoint(
        request_id="a.1",
        position=position,
        tokens=text,
        attempt=attempt,
        is_dispatched=True,
    )
    return journal_pb2.JournalBatch(link=link(), sequence=sequence, checkpoints=[state])


def make_held(log: FakeLog | None = None) -> BackupRecords:
    log = log or FakeLog()
    log.register(LINK_MACHINE, LinkMachine())
    decisions = LinkDecisions(FakeAgreement("b", log))
    taken = TakeoverQueries(None, FakeDirectory([]))
    return BackupRecords(LIFE, FakeTimers(), decisions, taken)


async def open_link(held: BackupRecords, **options) -> None:
    message = journal_pb2.OpenLink(link=link(**options))
    await held.handle_open(message, "a")


async def send(held: BackupRecords, batch) -> str:
    try:
        ack = await held.handle_batch(batch, "a")
    except Failure as failure:
        return failure.code
    return "missing" if ack.missing else _State.State.Name(ack.state)


@pytest.mark.parametrize(
    ("batches", "answers", "tokens", "is_dispatched"),
    [
        ([record(1), step(2, 0, "ab")], ["RECORDED"] * 2, "ab", True),
        # A late whole record would roll tokens and dispatch back.
        (
            [record(1), step(3, 0, "ab"), record(2)],
            ["RECORDED", "RECORDED", Code.FENCED],
            "ab",
            True,
        ),
        (
            [record(1), step(2, 0, "ab")] * 2,
            ["RECORDED"] * 2 + [Code.FENCED, "RECORDED"],
            "ab",
            True,
        ),
        ([record(1, "ab"), step(2, 1, "bcd")], ["RECORDED"] * 2, "abcd", True),
        ([record(1), step(2, 1, "b")], ["RECORDED", "missing"], "", False),
        ([step(1, 0, "a"), record(2, "a")], ["missing", "RECORDED"], "a", False),
        ([record(1, link=link(generation=2))], ["UNKNOWN"], None, None),
        ([record(1, link=link(life=LIFE - 1))], ["UNKNOWN"], None, None),
    ],
)
async def test_batches(autojump_clock, batches, answers, tokens, is_dispatched):
    held = make_held()
    await open_link(held)
    assert [await send(held, batch) for batch in batches] == answers
    runs = await held.take_over(link())
    found = [("".join(run.tokens), run.is_dispatched) for run in runs]
    assert found == ([] if tokens is None else [(tokens, is_dispatched)])


async def test_ended_links_stay_ended(autojump_clock):
    held = make_held()
    await open_link(held)
    await send(held, record(1))
    assert len(await held.take_over(link())) == 1
    assert await held.take_over(link()) == []
    assert await send(held, record(2)) == "TAKEN"
    with pytest.raises(Failure):
        await open_link(held)
    forget = journal_pb2.ForgetLink(link=link(generation=2))
    await held.handle_forget(forget, "a")
    held.add_runs(link(generation=2), [])
    assert held.links_to_take_over(lambda owner, life: True) == []


async def test_takeover_without_quorum_is_asked_for_again(autojump_clock):
    log = FakeLog()
    held = make_held(log)
    await open_link(held)
    await send(held, record(1))
    log.has_quorum = False
    with pytest.raises(Failure):
        await held.take_over(link())
    # It may have been granted, so that nothing may be recorded any more.
    assert await send(held, record(2)) == Code.NOT_READY
    assert held.links_to_take_over(lambda owner, life: False) == [link()]
    log.has_quorum = True
    assert len(await held.take_over(link())) == 1


@pytest.mark.parametrize("prior", ["dropped", "taken with it", "taken without it"])
async def test_record_counts_unless_it_went_over_before(autojump_clock, prior):
    held = make_held()
    earlier, later = link(1), link(2)
    for generation in (1, 2):
        await open_link(held, generation=generation)
    if prior == "taken with it":
        await send(held, record(1, "a"))
    await send(held, record(1, "ab", [earlier], link=later))
    taken = []
    if prior != "dropped":
        taken = await held.take_over(earlier)
    assert len(taken) == (prior == "taken with it")
    assert len(await held.take_over(later)) == (prior != "taken with it")
    assert await held.take_over(earlier) == []


async def test_links_that_wait_for_each_other_are_taken(autojump_clock):
    held = make_held()
    for generation, request_id, other in ((1, "a.1", "a.2"), (2, "a.2", "a.1")):
        await open_link(held, generation=generation)
        batch = record(1, link=link(generation))
        batch.records[0].request_id = request_id
        moved = record(1, priors=[link(3 - generation)]).records[0]
        moved.request_id = other
        batch.records.append(moved)
        assert await send(held, batch) == "RECORDED"
    runs = []
    async with trio.open_nursery() as nursery:

        async def take(generation: int) -> None:
            while not held.has_taken_over(link(generation)):
                with contextlib.suppress(Failure):
                    runs.extend(await held.take_over(link(generation)))

        nursery.start_soon(take, 1)
        nursery.start_soon(take, 2)
    assert len(runs) == 2


def test_back_links_differ():
    links = [link(), link(2), link(life=8), link(second="c")]
    backs = {reverse_link(each).SerializeToString() for each in links}
    assert len(backs) == len(links)
    assert reverse_link(link()).owner == "b"
