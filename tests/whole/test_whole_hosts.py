"""Complete hosts serve requests despite failures of hosts and upstreams."""

import pytest
import trio

from pepperstep.entities import ModelKey
from pepperstep.fakes import FakeEngine, FakeUpstreams, answer_of
from pepperstep.fakes.hosts import FakeHosts, HostPlace
from pepperstep.observability.explanations import StepKind

KEY = ModelKey("zaseki-7b", "", "1")
ZONES = ("sapporo-hall", "asahikawa-hall", "hakodate-hall")
BASE = {
    "sites": {"kitahara": {"regions": ["dosanko"]}},
    "limits": {"entry_hosts_seconds": 1.0},
    "workspaces": {"planners": {}},
    "deployments": {
        "zaseki-model": {
            "model": "zaseki-7b",
            "version": "1",
            "workspaces": ["planners"],
        }
    },
}


def start_hosts(count: int = 6):
    places = [
        HostPlace(f"entry-{n}", ZONES[n % 3], "dosanko", "kitahara", n < 3)
        for n in range(count)
    ]
    engines = [
        FakeEngine(f"engine-{n}", ZONES[n % 3], KEY, region="dosanko") for n in range(6)
    ]
    return FakeHosts.start(places, FakeUpstreams(engines), BASE)


@pytest.mark.parametrize("fault", ["none", "owner", "leader", "engine", "drain"])
async def test_answer_is_complete(fault, autojump_clock):
    async with start_hosts() as hosts:
        await trio.sleep(2)
        request = hosts.request("entry-4")
        run = await hosts.hosts["entry-4"].node.requests.submit(request)
        before, _ = await hosts.read("entry-4", run.id, "planners", limit=5)
        reader = "entry-5"
        if fault == "owner":
            hosts.crash("entry-4")
        elif fault == "leader":
            hosts.crash(hosts.leader)
        elif fault == "engine":
            busy = [e for e in hosts.upstreams.engines if e.load.running]
            busy[0].die()
        elif fault == "drain":
            await hosts.drain("entry-4")
        after, outcome = await hosts.read(reader, run.id, "planners", len(before))
    assert before + after == answer_of(request)
    assert outcome.is_answered


async def test_explanation_of_a_request(autojump_clock):
    async with start_hosts() as hosts:
        await trio.sleep(2)
        node = hosts.hosts["entry-4"].node
        run = await node.requests.submit(hosts.request("entry-4"))
        await hosts.read("entry-4", run.id, "planners", limit=5)
        hosts.upstreams.all[run.upstream].die()
        await hosts.read("entry-4", run.id, "planners", 5)
        steps = node.explanations.find(run.id).steps
    assert [step.kind for step in steps] == [
        StepKind.ACCEPTED,
        StepKind.DISPATCHED,
        StepKind.LOST,
        StepKind.DISPATCHED,
        StepKind.ANSWERED,
    ]
    text = node.metrics.render().decode()
    assert (
        'queueing_seconds_count{class="interactive",workspace="planners"} 2.0' in text
    )
    assert steps[1].upstream != steps[3].upstream
    assert steps[1].reason


async def test_requests_move_off_a_leaving_upstream(autojump_clock):
    async with start_hosts() as hosts:
        await trio.sleep(2)
        node = hosts.hosts["entry-4"].node
        request = hosts.request("entry-4", max_tokens=2000)
        run = await node.requests.submit(request)
        before, _ = await hosts.read("entry-4", run.id, "planners", limit=5)
        engine = hosts.upstreams.all[run.upstream]
        engine.leave()
        await trio.sleep(8)
        assert not engine.load.running
        after, _ = await hosts.read("entry-4", run.id, "planners", len(before))
        engine.start_again()
        await trio.sleep(2)
        assert engine.name in {each.name for each in node.recovery.moves.candidates()}
    assert before + after == answer_of(request)
    assert sum(each.computed_tokens for each in hosts.upstreams.engines) < 50


async def test_stopped_leader_leaves_control_hosts_without_a_leader(autojump_clock):
    async with start_hosts(3) as hosts:
        await trio.sleep(2)
        stopped = hosts.leader
        await hosts.drain(stopped)
        with trio.fail_after(0.2):
            while hosts.leader in ("", stopped):
                await trio.sleep(0.01)
