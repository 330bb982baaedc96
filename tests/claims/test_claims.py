"""Claims and fences through a log that commits late, repeatedly or not at all."""

import contextlib

import pytest
import trio

from pepperstep.claims import (
    MACHINE_NAME,
    MAX_INLINE_BYTES,
    ClaimMachine,
    ClaimOutcome,
    Claims,
    ClaimStatus,
    Fences,
    HostIdentity,
    OutcomeKind,
)
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import FakeAgreement, FakeLog, FakeTimers
from pepperstep.proto.claims_pb2 import ClaimsCommand

TIME_TO_LIVE = 86_400.0
NOT_RUN = ClaimOutcome(OutcomeKind.NOT_RUN)
MAY_HAVE_RUN = ClaimOutcome(OutcomeKind.MAY_HAVE_RUN)


class Host:
    """Claims and fences clients of one entry host."""

    def __init__(self, name, log, wall_offset=0.0):
        agreement = FakeAgreement(name, log)
        self.fences = Fences.from_config(name, agreement)
        self.timers = FakeTimers(wall_offset=wall_offset)
        self.claims = Claims.from_config(
            lambda: self.fences.identity, agreement, self.timers, lambda: TIME_TO_LIVE
        )

    async def claim(self, key="k", fingerprint="f", timeout=1.0, request="r"):
        return await self.claims.claim("desks", key, request, fingerprint, timeout)


class Cluster:
    """State machines of two control hosts, and entry hosts that use them."""

    def __init__(self, nursery):
        self.log = FakeLog()
        self.machines = [ClaimMachine(), ClaimMachine()]
        for machine in self.machines:
            self.log.register(MACHINE_NAME, machine)
        self.nursery = nursery

    async def add_host(self, name, start="1", **options):
        host = Host(name, self.log, **options)
        await host.fences.join(start, 1.0)
        await self.nursery.start(host.claims.run)
        return host

    def restart(self):
        """Restore the machines from their snapshots."""
        first, second = (machine.snapshot() for machine in self.machines)
        assert first == second
        for machine in self.machines:
            machine.restore(first)
        assert self.machines[0].snapshot() == first

    def committed_batches(self):
        commands = [ClaimsCommand.FromString(data) for _, data in self.log.entries]
        return [each.batch for each in commands if each.HasField("batch")]


@contextlib.asynccontextmanager
async def open_cluster():
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery)
        yield cluster
        cluster.restart()
        nursery.cancel_scope.cancel()


async def test_one_claim_per_key_is_granted_and_visible_to_others(autojump_clock):
    async with open_cluster() as cluster:
        hosts = [await cluster.add_host(f"h{number}") for number in range(3)]
        answers = {}

        async def race(host):
            answers[host] = await host.claim(request=host.fences.identity.host)

        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(race, host)
        (winner,) = [host for host in hosts if answers[host].is_granted]
        for host in hosts:
            assert answers[host].claim.owner == winner.fences.identity
            assert answers[host].claim.request_id == winner.fences.identity.host
        other = next(host for host in hosts if host is not winner)
        # The outcome is open, then an answer, also after a restart and if commits are
        # repeated.
        cluster.restart()
        assert (await other.claim()).claim.outcome is None
        cluster.log.copies = 2
        answer = ClaimOutcome.from_answer(b"chart")
        assert await winner.claims.finish(answers[winner].claim, answer, 1.0)
        cluster.restart()
        again = await other.claim()
        assert (again.status, again.claim.outcome) == (ClaimStatus.HELD, answer)
        conflict = await other.claim(fingerprint="g")
        assert conflict.status == ClaimStatus.CONFLICT
        # The same key in another workspace is a different key.
        mine = await other.claims.claim("halls", "k", "r", "g", 1.0)
        assert mine.is_granted


async def test_waiting_claims_share_batches(autojump_clock):
    async with open_cluster() as cluster:
        host = await cluster.add_host("h")
        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(host.claim, f"k{number}")
        sizes = [len(batch.claims) for batch in cluster.committed_batches()]
        assert sum(sizes) == 300
        assert len(sizes) <= 4


@pytest.mark.parametrize("is_committed_first", [True, False])
async def test_claim_with_unknown_result_is_released(
    autojump_clock, is_committed_first
):
    async with open_cluster() as cluster:
        host, other = await cluster.add_host("h"), await cluster.add_host("o")
        captured = None
        if is_committed_first:
            cluster.log.lost_replies = 1
        else:
            cluster.log.has_quorum = False
        with pytest.raises(Failure) as caught:
            await host.claim(timeout=1.0)
        assert caught.value.code == Code.NO_QUORUM
        assert caught.value.execution == Execution.NOT_RUN
        if is_committed_first:
            captured = cluster.log.entries[-1]
            assert (await other.claim()).status == ClaimStatus.HELD
        cluster.log.has_quorum = True
        await trio.sleep(3.0)
        assert host.claims.uncommitted_finish_count == 0
        if captured is None:
            # The claim that was sent without a quorum arrives after its release.
            release = cluster.committed_batches()[-1].finishes[0]
            late = ClaimsCommand()
            late.batch.claims.add(
                workspace="desks",
                key="k",
                claim_id=release.claim_id,
                owner="h",
                incarnation=1,
                fingerprint="f",
                expires_at=release.expires_at,
            )
            captured = (MACHINE_NAME, late.SerializeToString())
        cluster.log.commit(*captured)
        cluster.restart()
        cluster.log.commit(*captured)
        assert (await other.claim()).is_granted
        # Another commit has no effect, either.
        cluster.log.commit(*captured)
        assert (await host.claim()).claim.owner.host == "o"


@pytest.mark.parametrize("outcome", [MAY_HAVE_RUN, ClaimOutcome.from_answer(b"x")])
@pytest.mark.parametrize("is_committed_first", [True, False])
async def test_claim_given_up_by_a_new_owner_frees_no_key_of_what_may_have_run(
    autojump_clock, outcome, is_committed_first
):
    """Guards against a second run by another request with the key."""
    async with open_cluster() as cluster:
        names = ("first", "second", "other")
        first, second, other = [await cluster.add_host(name) for name in names]
        assert (await first.claim()).is_granted
        if is_committed_first:
            cluster.log.lost_replies = 1
        else:
            cluster.log.has_quorum = False
        with pytest.raises(Failure) as caught:
            await second.claims.claim("desks", "k", "r", "f", 1.0, 2, outcome)
        assert caught.value.code == Code.NO_QUORUM
        cluster.log.has_quorum = True
        while second.claims.uncommitted_finish_count:
            await trio.sleep(0.1)
        repeat = await other.claim(request="s")
        assert repeat.status == ClaimStatus.HELD
        assert repeat.claim.outcome == (outcome if is_committed_first else None)


async def test_unsent_claim_is_not_released(autojump_clock):
    async with open_cluster() as cluster:
        host = await cluster.add_host("h")
        cluster.log.has_quorum = False
        with trio.move_on_after(0.1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.claim, "first")
                await trio.sleep(0.05)
                nursery.start_soon(host.claim, "second")
        cluster.log.has_quorum = True
        await trio.sleep(5.0)
        released = [
            each.key for batch in cluster.committed_batches() for each in batch.finishes
        ]
        assert released == ["first"]


async def test_cancelled_caller_leaves_no_claim(autojump_clock):
    async with open_cluster() as cluster:
        host, other = await cluster.add_host("h"), await cluster.add_host("o")
        for delay in (0.0, 0.001, 0.002, 0.003):
            with trio.move_on_after(delay):
                if (await host.claim(str(delay))).is_granted:
                    continue
            await trio.sleep(1.0)
            assert (await other.claim(str(delay))).is_granted


async def test_cancelled_new_owner_frees_no_key_of_what_may_have_run(autojump_clock):
    """Guards against a second run after a new owner ends while it claims."""
    async with open_cluster() as cluster:
        names = ("first", "second", "other")
        first, second, other = [await cluster.add_host(name) for name in names]
        for delay in (0.0, 0.001, 0.002, 0.003):
            key = str(delay)
            assert (await first.claim(key)).is_granted
            with trio.move_on_after(delay):
                await second.claims.claim("desks", key, "r", "f", 1.0, 2, MAY_HAVE_RUN)
            await trio.sleep(1.0)
            assert (await other.claim(key, request="s")).status == ClaimStatus.HELD


async def test_refused_claim_committed_twice_is_not_granted(autojump_clock):
    async with open_cluster() as cluster:
        host, other = await cluster.add_host("h"), await cluster.add_host("o")
        granted = (await host.claim()).claim
        assert (await other.claim()).status == ClaimStatus.HELD
        refused = cluster.log.entries[-1]
        await trio.sleep(1.0)
        await host.claims.finish(granted, NOT_RUN, 1.0)
        cluster.log.commit(*refused)
        assert (await host.claim()).is_granted


async def test_replaceable_outcomes(autojump_clock):
    answered = ClaimOutcome.from_answer(b"one")
    cases = [
        # Outcomes in order, each with whether the owner reports it, and the outcome
        # that a repeated claim gets.
        ([(MAY_HAVE_RUN, True)], MAY_HAVE_RUN),
        ([(MAY_HAVE_RUN, False), (answered, True)], answered),
        ([(answered, True), (MAY_HAVE_RUN, False)], answered),
        ([(answered, True), (NOT_RUN, True)], answered),
        ([(answered, True), (ClaimOutcome.from_answer(b"two"), True)], answered),
        ([(MAY_HAVE_RUN, False), (NOT_RUN, True)], None),
        ([(NOT_RUN, False)], "open"),
        ([(NOT_RUN, True), (answered, True)], None),
    ]
    async with open_cluster() as cluster:
        owner, other = await cluster.add_host("h"), await cluster.add_host("o")
        for number, (steps, expected) in enumerate(cases):
            claim = (await owner.claim(str(number))).claim
            for outcome, is_owner in steps:
                host = owner if is_owner else other
                assert await host.claims.finish(claim, outcome, 1.0)
            repeat = await other.claim(str(number))
            if expected is None:
                assert repeat.is_granted, number
            else:
                known = None if expected == "open" else expected
                assert repeat.status == ClaimStatus.HELD
                assert repeat.claim.outcome == known, number


async def test_long_answers_are_stored_as_hashes(autojump_clock):
    for size, kept in ((MAX_INLINE_BYTES, True), (MAX_INLINE_BYTES + 1, False)):
        outcome = ClaimOutcome.from_answer(b"x" * size)
        assert bool(outcome.answer) is kept
        assert len(outcome.digest) == 32


async def test_claims_are_kept_until_they_expire(autojump_clock):
    async with open_cluster() as cluster:
        host = await cluster.add_host("h")
        behind = await cluster.add_host("b", wall_offset=-2.0)
        claim = (await host.claim("old")).claim
        first = cluster.log.entries[-1]
        await host.claims.finish(claim, ClaimOutcome.from_answer(b"a"), 1.0)
        with pytest.raises(Failure):
            cluster.log.lost_replies = 1
            await host.claim("given-up")
        await trio.sleep(TIME_TO_LIVE - 60.0)
        assert (await behind.claim("old")).status == ClaimStatus.HELD
        cluster.restart()
        await trio.sleep(61.0)
        # The machine's clock advances with the next command.
        assert (await host.claim("new")).is_granted
        cluster.log.commit(*first)
        for machine in cluster.machines:
            assert [key for _, key in machine._claims] == ["new"]
            # The claim that was refused and released a minute ago.
            assert [*machine._released] == ["b.1.1"]
            assert (
                len(machine._claim_expirations)
                == len(machine._release_expirations)
                == 1
            )
        assert (await behind.claim("old")).is_granted


async def test_expiration_of_a_released_claim_spares_the_next_one(autojump_clock):
    async with open_cluster() as cluster:
        host = await cluster.add_host("h")
        first = (await host.claim()).claim
        await host.claims.finish(first, NOT_RUN, 1.0)
        await trio.sleep(TIME_TO_LIVE / 2)
        second = (await host.claim()).claim
        await trio.sleep(TIME_TO_LIVE / 2 + 1.0)
        assert (await host.claim()).claim == second


async def test_too_many_claims_are_refused(autojump_clock, monkeypatch):
    monkeypatch.setattr("pepperstep.claims.machine._MAX_CLAIMS", 2)
    async with open_cluster() as cluster:
        host = await cluster.add_host("h")
        claims = [(await host.claim(key)).claim for key in "ab"]
        with pytest.raises(Failure) as caught:
            await host.claim("c")
        assert caught.value.code == Code.OVERLOADED
        assert caught.value.retry_after > 0
        assert (await host.claim("a")).claim == claims[0]


async def test_claim_before_join_fails(autojump_clock):
    host = Host("h", FakeLog())
    with pytest.raises(Failure) as caught:
        await host.claim()
    assert caught.value.code == Code.NOT_READY


async def test_two_hosts_that_fence_each_other(autojump_clock):
    async with open_cluster() as cluster:
        hosts = [await cluster.add_host("a"), await cluster.add_host("b")]
        results = []

        async def fence(host, other):
            try:
                results.append(await host.fences.fence(other.fences.identity, 1.0))
            except Failure as failure:
                results.append(failure.code)

        cluster.log.copies = 2
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fence, *hosts)
            nursery.start_soon(fence, *reversed(hosts))
        assert results.count(Code.FENCED) == 1
        (won,) = [each for each in results if each != Code.FENCED]
        winner, loser = hosts if won.fenced_by.host == "a" else reversed(hosts)
        assert won.is_won
        cluster.restart()
        # The fenced host can't claim, but it can after a restart.
        with pytest.raises(Failure) as caught:
            await loser.claim()
        assert caught.value.code == Code.FENCED
        assert (await winner.claim()).is_granted
        again = await cluster.add_host(loser.fences.identity.host, start="2")
        assert again.fences.identity.incarnation == 2
        assert (await again.claim("other")).is_granted


async def test_claim_after_the_fence_is_refused(autojump_clock):
    async with open_cluster() as cluster:
        owner, second = await cluster.add_host("h"), await cluster.add_host("s")
        claimed = (await owner.claim("before")).claim
        await second.fences.fence(owner.fences.identity, 1.0)
        # A request claimed before the fence may have run; one claimed later can't.
        assert (await second.claim("before")).claim == claimed
        with pytest.raises(Failure):
            await owner.claim("after")
        assert (await second.claim("after")).is_granted


async def test_repeated_and_competing_fences(autojump_clock):
    async with open_cluster() as cluster:
        a, b = await cluster.add_host("a"), await cluster.add_host("b")
        x = await cluster.add_host("x")
        first = x.fences.identity
        assert (await a.fences.fence(first, 1.0)).is_won
        lost = await b.fences.fence(first, 1.0)
        assert (lost.is_won, lost.fenced_by) == (False, a.fences.identity)
        second = (await cluster.add_host("x", start="2")).fences.identity
        assert (await b.fences.fence(second, 1.0)).is_won
        cluster.restart()
        assert (await a.fences.fence(first, 1.0)).is_won
        with pytest.raises(Failure) as caught:
            await a.fences.fence(HostIdentity("x", 3), 1.0)
        assert caught.value.code == Code.UNKNOWN_NAME


async def test_repeated_join_returns_the_same_incarnation(autojump_clock):
    async with open_cluster() as cluster:
        host = await cluster.add_host("h")
        cluster.log.lost_replies = 1
        cluster.log.copies = 2
        with pytest.raises(Failure):
            await host.fences.join("2", 1.0)
        assert (await host.fences.join("2", 1.0)).incarnation == 2
        cluster.restart()
        assert (await host.fences.join("1", 1.0)).incarnation == 1
        for start in range(3, 20):
            identity = await host.fences.join(str(start), 1.0)
            assert identity.incarnation == start


def test_damaged_commands_and_snapshots():
    machine = ClaimMachine()
    before = machine.snapshot()
    for command in (b"", b"\xff\xff"):
        machine.apply(1, command)
    assert machine.snapshot() == before
    with pytest.raises(Failure) as caught:
        machine.restore(b"\xff")
    assert caught.value.code == Code.CORRUPT_STORAGE
