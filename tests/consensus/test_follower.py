"""Single append, vote and snapshot requests to a follower."""

import random
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.consensus.election import Election
from pepperstep.consensus.follower import Follower
from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.store import LogStore
from pepperstep.fakes import FakeDisk, FakeTimers
from pepperstep.proto import consensus_pb2 as pb
from tests.consensus.cluster import SMALL_LIMITS, RecordingMachine

VOTERS = tuple(Identity(name, name) for name in "abc")


def _entry(term: int) -> pb.LogEntry:
    proposal = pb.LogProposal(id=b"%d" % term, name="ledger", command=b"t%d" % term)
    return pb.LogEntry(term=term, proposal=proposal)


def _header(term: int, sender: str = "b", target: str = "a") -> pb.LogHeader:
    sent_by = Identity(sender, sender).to_message()
    return pb.LogHeader(term=term, sender=sent_by, target_disk_id=target)


@asynccontextmanager
async def open_follower(terms: list[int]):
    """Yield a follower whose log has synced entries of the given terms."""
    replica = Replica(FakeDisk(), "g", SMALL_LIMITS)
    replica.machines.register("ledger", RecordingMachine({}))
    replica.identity = VOTERS[0]
    await replica.create(Membership(VOTERS))
    await replica.load(Membership(VOTERS))
    follower = Follower(replica, FakeTimers(), SMALL_LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        replica.set_term(max(terms, default=0))
        replica.append([_entry(term) for term in terms])
        await replica.flush()
        yield follower, replica
        nursery.cancel_scope.cancel()


# Terms of the initial entries; request (term, previous index, previous term, terms
# of the entries, commit index); whether it is accepted; terms of the resulting
# entries; resulting commit index.
APPEND_CASES = [
    ([1, 1, 1], (1, 3, 1, [1], 2), True, [1, 1, 1, 1], 2),
    ([1, 1, 1], (1, 1, 1, [1], 2), True, [1, 1, 1], 2),
    ([1, 1, 1], (2, 1, 1, [2], 2), True, [1, 2], 2),
    ([1, 1, 1], (2, 2, 1, [], 3), True, [1, 1, 1], 2),
    ([1, 1, 1], (2, 3, 2, [2], 3), False, [1, 1, 1], 0),
    ([1, 1, 1], (2, 4, 2, [2], 3), False, [1, 1, 1], 0),
    ([2, 2], (1, 2, 2, [1], 2), False, [2, 2], 0),
]


@pytest.mark.parametrize("case", APPEND_CASES)
async def test_append_request(autojump_clock, case):
    before, (term, index, previous, sent, commit), is_accepted, after, committed = case
    async with open_follower(before) as (follower, replica):
        request = pb.LogAppendRequest(
            header=_header(term),
            previous_index=index,
            previous_term=previous,
            entries=[_entry(each) for each in sent],
            commit_index=commit,
        )
        for _ in range(2):
            reply = await follower.on_append(request)
            assert reply.is_accepted == is_accepted
            assert not is_accepted or reply.match_index == index + len(sent)
        last = replica.log.last_index
        assert [replica.log.term_at(n + 1) for n in range(last)] == after
        assert replica.commit_index == committed


# Requests (candidate, term, last index, last term, target disk) and whether each
# vote is granted.
VOTE_CASES = [
    ([("b", 2, 2, 1, "a")], [True]),
    ([("b", 2, 9, 1, "a"), ("c", 2, 9, 1, "a"), ("b", 2, 9, 1, "a")], [1, 0, 1]),
    ([("b", 2, 9, 1, "a"), ("c", 3, 9, 1, "a")], [True, True]),
    ([("b", 2, 1, 1, "a"), ("c", 2, 1, 2, "a")], [False, True]),
    ([("b", 0, 9, 1, "a")], [False]),
    ([("b", 2, 9, 1, "another disk")], [False]),
]


@pytest.mark.parametrize(("requests", "grants"), VOTE_CASES)
async def test_vote_request(autojump_clock, requests, grants):
    async with open_follower([1, 1]) as (follower, _):
        for (sender, term, index, last, target), is_granted in zip(
            requests, grants, strict=True
        ):
            request = pb.LogVoteRequest(
                header=_header(term, sender, target), last_index=index, last_term=last
            )
            reply = await follower.on_vote(request)
            assert reply.is_granted == is_granted


@pytest.mark.parametrize("terms", [[1, 1, 1, 1], [1, 2], [1, 3, 3, 3]])
async def test_installed_snapshot_and_later_entries(autojump_clock, terms):
    """Entries after a snapshot stay only if the log has its last entry."""
    snapshot = pb.LogSnapshot(index=3, term=1)
    snapshot.machines.add(name="ledger", state=b"x\ny")
    snapshot.membership.CopyFrom(Membership(VOTERS[:2]).to_message())
    data = snapshot.SerializeToString()
    async with open_follower(terms) as (follower, replica):
        request = pb.LogSnapshotRequest(header=_header(4), index=3, size=len(data))
        request.data = data[:10]
        assert (await follower.on_snapshot(request)).offset == 10
        request.offset, request.data = 10, data[10:]
        assert (await follower.on_snapshot(request)).is_installed
        assert replica.applied_index == 3
        assert replica.membership.voters == VOTERS[:2]
        expected = 4 if terms == [1, 1, 1, 1] else 3
        assert replica.log.last_index == expected
        copy = Replica(replica.store._storage, "g", SMALL_LIMITS)
        copy.machines.register("ledger", RecordingMachine({}))
        await copy.load(Membership(VOTERS))
        assert (copy.log.last_index, copy.membership) == (expected, replica.membership)


async def test_older_snapshot_is_not_saved():
    store = LogStore(FakeDisk(), "g", 1000)
    for index in (5, 9, 7):
        await store.save_snapshot(pb.LogSnapshot(index=index))
    assert (await store.load_snapshot()).index == 9


async def test_leader_contact_during_pre_vote_stops_campaign(autojump_clock):
    """A leader that sends a message during the pre-vote may hold a lease.

    A campaign that goes on would raise the term and depose that leader.
    """
    async with open_follower([1]) as (follower, replica):
        election = Election(
            "g", replica, follower, None, FakeTimers(), random.Random(0), SMALL_LIMITS
        )

        async def ask_votes(term: int, is_pre_vote: bool) -> bool:
            append = pb.LogAppendRequest(header=_header(1))
            await follower.on_append(append)
            return True

        election._request_votes = ask_votes
        assert not await election._campaign()
        assert replica.term == 1
