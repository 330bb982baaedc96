"""The deciding host of a content, probes of upstreams, and what hosts tell."""

import random
from dataclasses import replace

import pytest
import trio

from pepperstep.entities import Host, ModelKey, RequestKind
from pepperstep.fakes import (
    FakeDirectory,
    FakeEngine,
    FakeNetwork,
    FakePeers,
    FakeTimers,
    FakeUpstreams,
)
from pepperstep.proto import verdicts_pb2
from pepperstep.requests.broadcast import Broadcast
from pepperstep.requests.mover import TerminationNotice
from pepperstep.requests.probes import Health, Probes
from pepperstep.requests.suspects import Suspects, content_of
from tests.moves.moving_hosts import MovingHosts

KEY = ModelKey("zaseki-7b", "", "1")
GRANTED = verdicts_pb2.PERMISSION_GRANTED
WAIT = verdicts_pb2.PERMISSION_WAIT
SHARE = verdicts_pb2.PERMISSION_SHARE
REFUSED = verdicts_pb2.PERMISSION_REFUSED


class Decider:
    """Suspects with short ways to ask and tell."""

    def __init__(self) -> None:
        self.gone: set[str] = set()
        self.suspects = Suspects(lambda host, _: host in self.gone)
        self.now = 1000.0

    def leave(self, host):
        """Let a host be gone, and its runs be asked for some time ago."""
        self.gone.add(host)
        assert self.ask("r3", "c/1").permission == WAIT
        self.now += 6

    def ask(self, request, upstream, zone="z1", owner="entry-0", **values):
        message = verdicts_pb2.RunContent(
            content="c",
            request_id=request,
            upstream=upstream,
            zone=zone,
            until=self.now + 100,
            **values,
        )
        return self.suspects.ask(message, owner, self.now)

    def lose(self, request, upstream, content="c", **values):
        message = verdicts_pb2.ReportLoss(
            content=content, request_id=request, upstream=upstream, **values
        )
        return self.suspects.report(message, self.now)

    def end(self, request, end=verdicts_pb2.RUN_END_OPEN, owner="entry-0", serial=0):
        ended = verdicts_pb2.EndedRun(
            content="c", request_id=request, end=end, serial=serial
        )
        self.suspects.end(ended, owner, self.now)


@pytest.fixture
def decider():
    return Decider()


def test_same_content_runs_on_two_upstreams_in_two_zones_at_most(decider):
    assert decider.ask("r1", "a/1", "z1").permission == GRANTED
    assert decider.ask("r2", "b/1", "z1").permission == SHARE
    assert decider.ask("r2", "b/1", "z2").permission == GRANTED
    third = decider.ask("r3", "c/1", "z3")
    assert (third.permission, third.upstreams) == (SHARE, ["a/1", "b/1"])
    assert decider.ask("r3", "b/1", "z2").permission == GRANTED
    decider.end("r1", verdicts_pb2.RUN_END_ANSWERED)
    assert decider.ask("r4", "c/1", "z3").permission == GRANTED


def test_suspect_content_runs_once_at_a_time(decider):
    decider.ask("r1", "a/1")
    decider.ask("r2", "b/1", "z2")
    assert decider.lose("r1", "a/1").is_counted
    assert decider.ask("r1", "c/1").permission == WAIT
    decider.end("r2")
    answer = decider.ask("r1", "c/1")
    assert (answer.permission, answer.is_suspect) == (GRANTED, True)
    assert decider.lose("r1", "c/1").verdict.upstreams == ["a/1", "c/1"]
    assert decider.ask("r9", "d/1").permission == REFUSED


@pytest.mark.parametrize(
    "free",
    [
        lambda d: d.leave("entry-1"),
        lambda d: setattr(d, "now", d.now + 101),
        lambda d: d.end("r1", owner="entry-1", serial=7),
    ],
)
def test_run_is_forgotten_when_its_owner_or_time_or_it_ends(decider, free):
    decider.lose("r0", "a/1")
    decider.ask("r1", "b/1", owner="entry-1", serial=7)
    decider.end("r1", owner="entry-1", serial=6)
    assert decider.ask("r2", "c/1").permission == WAIT
    free(decider)
    assert decider.ask("r2", "c/1").permission == GRANTED


@pytest.mark.parametrize(
    ("losses", "is_convicted"),
    [
        ([{}, {}], True),
        ([{"live_peers": 2}, {"live_peers": 2}], True),
        # Neighbours ended as well: the zone or host was lost.
        ([{}, {"dead_peers": ["x/1", "y/1"], "live_peers": 1}], False),
        ([{"dead_peers": ["x/1"]}, {}], False),
        # The neighbour that ended is the content's own earlier loss.
        ([{}, {"dead_peers": ["a0/1"]}], True),
        # It ran beside another suspect, so a third loss decides.
        ([{}, {"is_shared": True}], False),
        ([{}, {"is_shared": True}, {}], True),
        # Another host decided that it isn't enough.
        ([{}, {"is_decided": True}], False),
    ],
)
def test_second_loss_of_its_own_convicts(decider, losses, is_convicted):
    answers = [decider.lose("r1", f"a{n}/1", **loss) for n, loss in enumerate(losses)]
    assert answers[-1].HasField("verdict") == is_convicted


def test_loss_of_the_same_upstream_counts_once(decider):
    for request in ("r1", "r2", "r1"):
        assert not decider.lose(request, "a/1").HasField("verdict")


def test_verdict_or_reclaim_explains_the_losses_of_others(decider):
    decider.lose("r1", "a/1", "bystander")
    decider.lose("r2", "a/1")
    assert decider.lose("r2", "b/1").HasField("verdict")
    assert not decider.lose("r1", "c/1", "bystander").HasField("verdict")
    decider.suspects.explain(["c/1"], decider.now)
    assert not decider.lose("r1", "d/1", "bystander").HasField("verdict")
    assert not decider.lose("r3", "b/1", "another").is_counted


def test_host_that_decides_anew_learns_the_losses_from_the_run(decider):
    answer = decider.ask("r1", "b/1", lost=["a/1"])
    assert answer.is_suspect
    assert decider.lose("r1", "b/1").HasField("verdict")


def test_host_that_took_note_convicts_once_it_decides(decider):
    decider.lose("r1", "a/1", is_decided=True)
    assert decider.ask("r9", "c/1", is_decided=True).permission == GRANTED
    decider.end("r9")
    decider.lose("r2", "b/1", is_decided=True)
    assert decider.ask("r3", "c/1").permission == REFUSED


def test_run_that_passed_its_loss_runs_apart_to_its_end(decider):
    decider.lose("r1", "a/1")
    decider.ask("r1", "b/1")
    decider.end("r1", verdicts_pb2.RUN_END_PASSED)
    assert decider.ask("r1", "b/1", lost=["a/1"]).is_strict
    assert not decider.lose("r1", "b/1").HasField("verdict")
    assert decider.lose("r1", "c/1").HasField("verdict")


def test_verdict_and_hold_end_in_time(decider):
    decider.lose("r1", "a/1")
    until = decider.lose("r1", "b/1").verdict.until
    hold = verdicts_pb2.HoldUpstream(upstream="u/1", request_id="r1")
    other = verdicts_pb2.HoldUpstream(upstream="u/1", request_id="r2")
    assert decider.suspects.hold(hold, decider.now)
    assert decider.suspects.hold(hold, decider.now + 2)
    assert not decider.suspects.hold(other, decider.now + 4)
    assert decider.suspects.hold(other, decider.now + 6)
    decider.now = until + 1
    assert decider.ask("r1", "c/1").permission == GRANTED


@pytest.mark.parametrize(
    ("changes", "is_same"),
    [
        ({"id": "other", "seed": 9, "idempotency_key": "k", "max_tokens": 7}, True),
        ({"model_key": ModelKey("zaseki-7b", "tables", "2")}, True),
        ({"model_key": ModelKey("annuity-13b", "", "1")}, False),
        ({"prompt": "Another prompt."}, False),
        ({"kind": RequestKind.SERVICE, "body": b"x"}, False),
    ],
)
async def test_content_is_what_may_crash_an_upstream(autojump_clock, changes, is_same):
    async with MovingHosts.start(count=2, engines=1) as hosts:
        request = hosts.request()
    assert (content_of(request) == content_of(replace(request, **changes))) == is_same


@pytest.mark.parametrize(
    ("fault", "health", "dead", "live"),
    [
        ("none", Health.ALIVE, 0, 0),
        ("dead", Health.ENDED, 0, 2),
        ("restarted", Health.ENDED, 0, 2),
        ("hangs", Health.UNREACHABLE, 0, 0),
        ("zone", Health.ENDED, 2, 0),
        ("host", Health.ENDED, 1, 0),
    ],
)
async def test_probe_tells_a_crash_from_other_faults(
    autojump_clock, monkeypatch, fault, health, dead, live
):
    upstreams = FakeUpstreams([FakeEngine(f"e{n}", "z1", KEY) for n in range(3)])
    upstreams.add(FakeEngine("far", "z2", KEY))
    engines = upstreams.engines
    if fault == "host":
        engines[1].upstream = replace(engines[1].upstream, host="host-of-e0")
    probes = Probes(upstreams, upstreams, FakeTimers())
    probes.note_present()
    upstream = engines[0].upstream
    lost = {"zone": 3, "host": 2, "dead": 1, "restarted": 1}.get(fault, 0)
    for engine in engines[:lost]:
        engine.die()
    if fault == "restarted":
        engines[0].start_again()
    if fault == "hangs":
        monkeypatch.setattr(upstreams, "read_state", lambda _: trio.sleep_forever())
    diagnoses = []

    async def diagnose() -> None:
        diagnoses.append(await probes.diagnose(upstream))

    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(diagnose)
    assert {d.health for d in diagnoses} == {health}
    assert {(len(d.dead_peers), d.live_peers) for d in diagnoses} == {(dead, live)}


async def test_probe_from_before_a_death_is_not_taken_for_its_result(autojump_clock):
    upstreams = FakeUpstreams([FakeEngine("e0", "z1", KEY)])
    probes = Probes(upstreams, upstreams, FakeTimers())
    upstream = upstreams.engines[0].upstream
    assert (await probes.diagnose(upstream)).health is Health.ALIVE
    upstreams.engines[0].die()
    assert (await probes.diagnose(upstream)).health is Health.ENDED


@pytest.mark.parametrize(
    ("count", "loss", "has_origin_ended"),
    [(8, 0.5, False), (8, 0.5, True), (2, 0.8, False)],
)
async def test_item_reaches_all_hosts_through_losses(
    autojump_clock, count, loss, has_origin_ended
):
    names = [f"entry-{number}" for number in range(count)]
    network = FakeNetwork(random.Random(3))
    directory = FakeDirectory(
        [Host(name, name, "", "z", "region", "site") for name in names]
    )
    broadcasts: dict[str, Broadcast] = {}

    def build(items, is_pull):
        verdicts = [verdicts_pb2.Verdict(content=item) for item in items]
        return verdicts_pb2.Verdicts(verdicts=verdicts, is_pull=is_pull)

    async with trio.open_nursery() as nursery:
        for name in names:
            peers = FakePeers(name, network, FakeTimers(), nursery)

            def read(message, name=name):
                for verdict in message.verdicts:
                    broadcasts[name].add(verdict.content, verdict.content, 4e9, False)

            async def handle(message, sender, read=read):
                read(message)
                return build([], False)

            peers.handle(verdicts_pb2.Verdicts, handle)
            broadcasts[name] = Broadcast(
                name, peers, FakeTimers(), directory, random.Random(1), build, read
            )
            nursery.start_soon(broadcasts[name].run)
        await trio.sleep(5)
        network.loss = loss
        broadcasts["entry-0"].add("c", "c", 4e9)
        if has_origin_ended:
            await trio.sleep(0.01)
            network.detach("entry-0")
            network.isolate("entry-0")
        await trio.sleep(20)
        nursery.cancel_scope.cancel()
    assert all(broadcasts[name].items() == ["c"] for name in names)


async def test_view_hides_what_leaves(autojump_clock):
    async with MovingHosts.start(count=2, engines=3) as hosts:
        moves = hosts.recoveries["entry-0"].moves
        at = hosts.wall() + 5
        moves.reclaim([TerminationNotice("n", at, upstream="engine-1")])
        moves.add_leaving_upstream(hosts.engine("engine-2").upstream)
        names = [u.name for u in moves.candidates() if u.name.startswith("engine")]
        assert names == ["engine-0"]


async def test_suspects_try_other_zones_first(autojump_clock):
    async with MovingHosts.start() as hosts:
        runs = [await hosts.submit(hosts.request(number=n)) for n in range(6)]
        await trio.sleep(0.2)
        lost = hosts.engine(runs[0].upstream)
        on_it = [run for run in runs if run.upstream == lost.name]
        lost.die()
        await trio.sleep(0.5)
        zones = {hosts.engine(run.upstream).upstream.zone for run in on_it}
    assert lost.upstream.zone not in zones
