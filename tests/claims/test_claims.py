"""Claims through a log that commits late, twice or not at all."""

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
    """One entry host's claims."""

    def __init__(self, name, log, wall_offset=0.0):
        agreement = FakeAgreement(name, log)
        self.fences = Fences.from_config(name, agreement)
        self.timers = FakeTimers(wall_offset=wall_offset)
        self.claims = Claims.from_config(
            lambda: self.fences.identity, agreement, self.timers, lambda: TIME_TO_LIVE
        )

    async def claim(self, key="k", fingerprint="f", timeout=1.0, request="r"):
        return await self.claims.claim("desks", key, request, fingerprint, timeout)


class Bench:
    """Two control hosts' machines and hosts that claim."""

    def __init__(self, nursery):
        self.log = FakeLog()
        self.machines = [ClaimMachine(), ClaimMachine()]
        for machine in self.machines:
            self.log.register(MACHINE_NAME, machine)
        self.nursery = nursery

    async def host(self, name, start="1", **options):
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

    def batches(self):
        commands = [ClaimsCommand.FromString(data) for _, data in self.log.entries]
        return [each.batch for each in commands if each.HasField("batch")]


@contextlib.asynccontextmanager
async def open_bench():
    async with trio.open_nursery() as nursery:
        bench = Bench(nursery)
        yield bench
        bench.restart()
        nursery.cancel_scope.cancel()


async def test_at_most_one_claim_a_key_and_the_others_see_it(autojump_clock):
    async with open_bench() as bench:
        hosts = [await bench.host(f"h{number}") for number in range(3)]
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
        # Open, then answered; also after a restart, and for a doubled commit.
        bench.restart()
        assert (await other.claim()).claim.outcome is None
        bench.log.copies = 2
        answer = ClaimOutcome.from_answer(b"chart")
        assert await winner.claims.finish(answers[winner].claim, answer, 1.0)
        bench.restart()
        again = await other.claim()
        assert (again.status, again.claim.outcome) == (ClaimStatus.HELD, answer)
        conflict = await other.claim(fingerprint="g")
        assert conflict.status == ClaimStatus.CONFLICT
        # The same key of another workspace is another key.
        mine = await other.claims.claim("halls", "k", "r", "g", 1.0)
        assert mine.is_granted


async def test_claims_that_wait_together_go_in_one_batch(autojump_clock):
    async with open_bench() as bench:
        host = await bench.host("h")
        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(host.claim, f"k{number}")
        sizes = [len(batch.claims) for batch in bench.batches()]
        assert sum(sizes) == 300
        assert len(sizes) <= 4


@pytest.mark.parametrize("is_committed_first", [True, False])
async def test_claim_of_unknown_fate_is_released(autojump_clock, is_committed_first):
    async with open_bench() as bench:
        host, other = await bench.host("h"), await bench.host("o")
        captured = None
        if is_committed_first:
            bench.log.lost_replies = 1
        else:
            bench.log.has_quorum = False
        with pytest.raises(Failure) as caught:
            await host.claim(timeout=1.0)
        assert caught.value.code == Code.NO_QUORUM
        assert caught.value.execution == Execution.NOT_RUN
        if is_committed_first:
            captured = bench.log.entries[-1]
            assert (await other.claim()).status == ClaimStatus.HELD
        bench.log.has_quorum = True
        await trio.sleep(3.0)
        assert host.claims.uncommitted_finish_count == 0
        if captured is None:
            # What was sent without a quorum arrives after its release.
            release = bench.batches()[-1].finishes[0]
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
        bench.log.commit(*captured)
        bench.restart()
        bench.log.commit(*captured)
        assert (await other.claim()).is_granted
        # A second commit after that has no effect, either.
        bench.log.commit(*captured)
        assert (await host.claim()).claim.owner.host == "o"


async def test_claim_that_never_left_needs_no_release(autojump_clock):
    async with open_bench() as bench:
        host = await bench.host("h")
        bench.log.has_quorum = False
        with trio.move_on_after(0.1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.claim, "first")
                await trio.sleep(0.05)
                nursery.start_soon(host.claim, "second")
        bench.log.has_quorum = True
        await trio.sleep(5.0)
        released = [each.key for batch in bench.batches() for each in batch.finishes]
        assert released == ["first"]


async def test_caller_that_was_cancelled_leaves_no_claim(autojump_clock):
    async with open_bench() as bench:
        host, other = await bench.host("h"), await bench.host("o")
        for delay in (0.0, 0.001, 0.002, 0.003):
            with trio.move_on_after(delay):
                if (await host.claim(str(delay))).is_granted:
                    continue
            await trio.sleep(1.0)
            assert (await other.claim(str(delay))).is_granted


async def test_refused_claim_that_is_committed_again_holds_nothing(autojump_clock):
    async with open_bench() as bench:
        host, other = await bench.host("h"), await bench.host("o")
        granted = (await host.claim()).claim
        assert (await other.claim()).status == ClaimStatus.HELD
        refused = bench.log.entries[-1]
        await trio.sleep(1.0)
        await host.claims.finish(granted, NOT_RUN, 1.0)
        bench.log.commit(*refused)
        assert (await host.claim()).is_granted


async def test_outcomes_that_may_follow_one_another(autojump_clock):
    answered = ClaimOutcome.from_answer(b"one")
    cases = [
        # Outcomes in turn, whether by the owner, and what a repeat is told.
        ([(MAY_HAVE_RUN, True)], MAY_HAVE_RUN),
        ([(MAY_HAVE_RUN, False), (answered, True)], answered),
        ([(answered, True), (MAY_HAVE_RUN, False)], answered),
        ([(answered, True), (NOT_RUN, True)], answered),
        ([(answered, True), (ClaimOutcome.from_answer(b"two"), True)], answered),
        ([(MAY_HAVE_RUN, False), (NOT_RUN, True)], None),
        ([(NOT_RUN, False)], "open"),
        ([(NOT_RUN, True), (answered, True)], None),
    ]
    async with open_bench() as bench:
        owner, other = await bench.host("h"), await bench.host("o")
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


async def test_long_answers_are_kept_as_hashes(autojump_clock):
    for size, kept in ((MAX_INLINE_BYTES, True), (MAX_INLINE_BYTES + 1, False)):
        outcome = ClaimOutcome.from_answer(b"x" * size)
        assert bool(outcome.answer) is kept
        assert len(outcome.digest) == 32


async def test_claims_are_pruned_by_time_to_live_only(autojump_clock):
    async with open_bench() as bench:
        host = await bench.host("h")
        behind = await bench.host("b", wall_offset=-2.0)
        claim = (await host.claim("old")).claim
        first = bench.log.entries[-1]
        await host.claims.finish(claim, ClaimOutcome.from_answer(b"a"), 1.0)
        with pytest.raises(Failure):
            bench.log.lost_replies = 1
            await host.claim("given-up")
        await trio.sleep(TIME_TO_LIVE - 60.0)
        assert (await behind.claim("old")).status == ClaimStatus.HELD
        bench.restart()
        await trio.sleep(61.0)
        # The machine learns the time with the next command.
        assert (await host.claim("new")).is_granted
        bench.log.commit(*first)
        for machine in bench.machines:
            assert [key for _, key in machine._claims] == ["new"]
            # The claim of a minute ago that was refused and given up.
            assert [*machine._released] == ["b.1.1"]
            assert (
                len(machine._claim_expirations)
                == len(machine._release_expirations)
                == 1
            )
        assert (await behind.claim("old")).is_granted


async def test_end_of_a_freed_claim_is_not_the_end_of_the_next(autojump_clock):
    async with open_bench() as bench:
        host = await bench.host("h")
        first = (await host.claim()).claim
        await host.claims.finish(first, NOT_RUN, 1.0)
        await trio.sleep(TIME_TO_LIVE / 2)
        second = (await host.claim()).claim
        await trio.sleep(TIME_TO_LIVE / 2 + 1.0)
        assert (await host.claim()).claim == second


async def test_no_room_for_more_claims(autojump_clock, monkeypatch):
    monkeypatch.setattr("pepperstep.claims.machine._MAX_CLAIMS", 2)
    async with open_bench() as bench:
        host = await bench.host("h")
        claims = [(await host.claim(key)).claim for key in "ab"]
        with pytest.raises(Failure) as caught:
            await host.claim("c")
        assert caught.value.code == Code.OVERLOADED
        assert caught.value.retry_after > 0
        assert (await host.claim("a")).claim == claims[0]


async def test_host_before_its_join_claims_nothing(autojump_clock):
    host = Host("h", FakeLog())
    with pytest.raises(Failure) as caught:
        await host.claim()
    assert caught.value.code == Code.NOT_READY


async def test_two_hosts_that_suspect_one_another(autojump_clock):
    async with open_bench() as bench:
        hosts = [await bench.host("a"), await bench.host("b")]
        results = []

        async def fence(host, other):
            try:
                results.append(await host.fences.fence(other.fences.identity, 1.0))
            except Failure as failure:
                results.append(failure.code)

        bench.log.copies = 2
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fence, *hosts)
            nursery.start_soon(fence, *reversed(hosts))
        assert results.count(Code.FENCED) == 1
        (won,) = [each for each in results if each != Code.FENCED]
        winner, loser = hosts if won.fenced_by.host == "a" else reversed(hosts)
        assert won.is_won
        bench.restart()
        # The fenced host claims nothing, but its restart does.
        with pytest.raises(Failure) as caught:
            await loser.claim()
        assert caught.value.code == Code.FENCED
        assert (await winner.claim()).is_granted
        again = await bench.host(loser.fences.identity.host, start="2")
        assert again.fences.identity.incarnation == 2
        assert (await again.claim("other")).is_granted


async def test_claim_that_comes_after_the_fence_is_refused(autojump_clock):
    async with open_bench() as bench:
        owner, second = await bench.host("h"), await bench.host("s")
        claimed = (await owner.claim("before")).claim
        await second.fences.fence(owner.fences.identity, 1.0)
        # What was claimed before may have run; what comes later may not.
        assert (await second.claim("before")).claim == claimed
        with pytest.raises(Failure):
            await owner.claim("after")
        assert (await second.claim("after")).is_granted


async def test_fences_in_turn(autojump_clock):
    async with open_bench() as bench:
        a, b = await bench.host("a"), await bench.host("b")
        x = await bench.host("x")
        first = x.fences.identity
        assert (await a.fences.fence(first, 1.0)).is_won
        lost = await b.fences.fence(first, 1.0)
        assert (lost.is_won, lost.fenced_by) == (False, a.fences.identity)
        second = (await bench.host("x", start="2")).fences.identity
        assert (await b.fences.fence(second, 1.0)).is_won
        bench.restart()
        assert (await a.fences.fence(first, 1.0)).is_won
        with pytest.raises(Failure) as caught:
            await a.fences.fence(HostIdentity("x", 3), 1.0)
        assert caught.value.code == Code.UNKNOWN_NAME


async def test_incarnations_grow_and_a_repeated_join_gets_the_same(autojump_clock):
    async with open_bench() as bench:
        host = await bench.host("h")
        bench.log.lost_replies = 1
        bench.log.copies = 2
        with pytest.raises(Failure):
            await host.fences.join("2", 1.0)
        assert (await host.fences.join("2", 1.0)).incarnation == 2
        bench.restart()
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
