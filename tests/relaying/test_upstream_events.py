"""What the lines and metrics tell of upstreams that a host counts on, or doesn't."""

import pytest
import trio
from absl import logging

from pepperstep.fakes.relaying import Reply
from pepperstep.observability.decisions import (
    LeavingAcknowledged,
    RequestRefused,
    RetryAsked,
    UpstreamLeaving,
    UpstreamLimit,
    UpstreamState,
)
from pepperstep.ports.exchange import AnswerHead
from tests.relaying.world import open_world, request


@pytest.fixture
def events(monkeypatch):
    """Give the events that all hosts of a world log."""
    kept = []

    def keep(text: str, event: object = None, *_: object) -> None:
        kept.append(event)

    monkeypatch.setattr(logging, "info", keep)
    return kept


def states(events: list) -> set[tuple[str, str, str]]:
    """Return each logged change of an upstream's state, and by whose word."""
    changes = [each for each in events if isinstance(each, UpstreamState)]
    return {(each.state_before, each.state, each.told_by) for each in changes}


async def test_events_name_the_source_of_a_gone_upstream(autojump_clock, events):
    async with open_world() as world:
        await world.announce("c0:1", "u1", "plain")
        await trio.sleep(1.0)
        assert ("", "working", "itself") in states(events)
        assert ("", "working", "c0:1") in states(events)
        events.clear()
        await world.controls["c1:1"].mark_gone("u1")
        await trio.sleep(1.0)
        assert ("working", "gone", "itself") in states(events)
        assert ("working", "gone", "c1:1") in states(events)


async def test_event_has_age_of_last_announcement(autojump_clock, events):
    async with open_world() as world:
        await world.announce("c0:1", "u1", "plain", sequence=7)
        await trio.sleep(3.0)
        await world.controls["c1:1"].mark_gone("u1")
        gone = [
            each
            for each in events
            if isinstance(each, UpstreamState) and each.state == "gone"
        ]
        assert gone[0].announcement == 7
        assert 2_900 <= gone[0].announced_ms_ago <= 3_100


async def test_event_for_answer_of_another_upstream(autojump_clock, events):
    headers = (
        (b"pepperstep-attempt-id", b"id-1"),
        (b"pepperstep-replica-id", b"u2"),
    )
    other = AnswerHead(421, headers)
    async with open_world() as world:
        world.connector.scripts["u1:80"] = lambda sent: Reply(other)
        await world.announce("c0:1", "u1", "plain")
        await trio.sleep(1.0)
        await world.ask("e0:1", request("/unsafe/1"))
        assert ("working", "gone", "answer") in states(events)


async def test_refusal_event_has_service_and_upstreams(autojump_clock, events):
    async with open_world() as world:
        await world.announce("c0:1", "u1", "model")
        await trio.sleep(1.0)
        await world.ask("e0:1", request("/unsafe/1"))
        [refused] = [each for each in events if isinstance(each, RequestRefused)]
        assert (refused.service, refused.upstreams, refused.target) == ("plain", 0, "")


async def test_refusal_event_has_unrouted_target(autojump_clock, events):
    async with open_world() as world:
        await world.ask("e0:1", request("/nowhere/1?key=secret"))
        await world.ask("e0:1", request("/nowhere/" + 200 * "x"))
        refused = [each for each in events if isinstance(each, RequestRefused)]
        assert refused[0].target == "a.example/nowhere/1"
        assert len(refused[1].target) == 120


async def test_metrics_count_the_upstreams_that_take_work(autojump_clock):
    async with open_world() as world:
        await world.announce("c0:1", "u1", "plain")
        await world.announce("c0:1", "u2", "plain")
        await world.controls["c0:1"].mark_gone("u2")
        await trio.sleep(1.0)
        for host in [*world.controls.values(), *world.entries.values()]:
            assert "pepperstep_upstreams 1.0" in host.metrics.render().decode()


async def test_stated_limit_is_in_events_and_metrics(autojump_clock, events):
    limit = [(b"server-limit", b"2.5")]

    def answer(sent) -> Reply:
        headers = ((b"pepperstep-attempt-id", b"id-1"), *limit)
        return Reply(AnswerHead(200, headers), (b"x",))

    async with open_world() as world:
        world.connector.scripts["u1:80"] = answer
        await world.announce("c0:1", "u1", "plain")
        await trio.sleep(1.0)
        metrics = world.entries["e0:1"].metrics
        await world.ask("e0:1", request("/safe/1"))
        assert b"limited_upstreams 1.0" in metrics.render()
        limit.clear()
        for _ in range(3):
            await trio.sleep(1.0)
            await world.ask("e0:1", request("/safe/1"))
        assert b"limited_upstreams 0.0" in metrics.render()
    lines = [each for each in events if isinstance(each, UpstreamLimit)]
    told = {(each.limit_before, each.limit, each.told_by) for each in lines}
    assert {(None, 2.5, "answer"), (2.5, None, "answer")} <= told
    control_hosts = {(None, 2.5, f"c{number}:1") for number in range(3)}
    assert control_hosts & told


async def test_event_names_the_answer_that_states_leaving(autojump_clock, events):
    headers = ((b"pepperstep-attempt-id", b"id-1"), (b"server-leaving", b"1"))
    async with open_world(entries=1) as world:
        reply = Reply(AnswerHead(200, headers), (b"x",))
        world.connector.scripts["u1:80"] = lambda sent: reply
        await world.announce("c0:1", "u1", "plain")
        await trio.sleep(1.0)
        await world.ask("e0:1", request("/safe/1"))
    [line] = [each for each in events if isinstance(each, UpstreamLeaving)]
    assert (line.request, line.upstream) == ("id-1", "u1")
    assert ("working", "leaving", "answer") in states(events)


async def test_event_names_hosts_that_stored_a_departure(autojump_clock, events):
    async with open_world() as world:
        await world.announce("c0:1", "u1", "plain")
        await trio.sleep(1.0)
        for sequence in (2, 3):
            await world.announce(
                "c0:1", "u1", "plain", sequence=sequence, is_leaving=True
            )
        await world.controls["c1:1"].mark_gone("u1")
    first, repeat, end = (
        each for each in events if isinstance(each, LeavingAcknowledged)
    )
    assert (first.upstream, first.is_gone, first.is_repeat) == ("u1", False, False)
    assert set(first.known_by) & {"c1:1", "c2:1"}
    assert (repeat.is_gone, repeat.is_repeat) == (False, True)
    assert (end.is_gone, end.is_repeat) == (True, False)


async def test_event_has_inputs_of_retry_decision(autojump_clock, events):
    async with open_world(entries=2) as world:
        for name in ("u1", "u2"):
            await world.announce("c0:1", name, "plain")
            world.connector.scripts[f"{name}:80"] = lambda sent: Reply(breaks=True)
        await trio.sleep(1.0)
        await world.ask("e0:1", request("/safe/1"))
    [asked] = [each for each in events if isinstance(each, RetryAsked)]
    assert (asked.request, asked.service, asked.is_granted) == ("id-1", "plain", True)
    assert (asked.requests, asked.retries, asked.hosts) == (1, 0, 2)
