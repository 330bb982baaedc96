"""Upstreams that restart under the same id, and announcements by other senders."""

import json

import pytest
import trio
from hypothesis import HealthCheck, given, settings, strategies as st

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.errors import Code, Failure
from pepperstep.fakes.relaying import FakeExchange, Reply
from pepperstep.platform import ControlHandler
from pepperstep.ports.exchange import AnswerHead, RequestHead
from tests.relaying.world import document, open_world, request

OK = AnswerHead(200, ((b"pepperstep-attempt-id", b"id-1"),))
# Starts of two incarnations in Unix milliseconds.
FIRST_START = 1_700_000_000_000
SECOND_START = FIRST_START + 5_000

HEARTBEAT = {
    "service": "plain",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 3,
    "cold_remaining_ms": 0,
    "born": FIRST_START,
}


def announcement(**changes) -> Announcement:
    """Return an announcement of the first incarnation with changes."""
    facts = {"service": "plain", "address": "u1:80", "zone": "z1", "slots": 4}
    facts |= {"sequence": 7, "incarnation": FIRST_START} | changes
    return Announcement("u1", **facts)


async def test_later_start_replaces_all_that_was_known(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    catalog.record(announcement(is_leaving=True, warmup=2.0))
    catalog.mark_gone("u1")
    restarted = announcement(incarnation=SECOND_START, sequence=1, address="u1:81")
    assert catalog.record(restarted)
    assert catalog.working("plain") == [restarted]


async def test_announcement_of_an_earlier_start_changes_nothing(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    restarted = announcement(incarnation=SECOND_START, sequence=1)
    catalog.record(restarted)
    heard_at = catalog.age("u1")
    await trio.sleep(2.0)
    assert not catalog.record(announcement(sequence=99, is_leaving=True))
    assert not catalog.record(announcement(sequence=99, incarnation=0))
    assert catalog.working("plain") == [restarted]
    assert catalog.age("u1") == heard_at + 2.0


async def test_end_of_an_earlier_start_does_not_end_the_later_one(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    restarted = announcement(incarnation=SECOND_START, sequence=1)
    catalog.record(restarted)
    catalog.mark_gone("u1", FIRST_START)
    assert catalog.working("plain") == [restarted]
    catalog.mark_gone("u1", SECOND_START)
    assert catalog.working("plain") == []


async def test_restarted_upstream_is_not_removed_as_gone(autojump_clock, monkeypatch):
    monkeypatch.setattr(
        "pepperstep.coordination.upstream_catalog._MAX_GONE_UPSTREAMS", 1
    )
    catalog = UpstreamCatalog(trio.current_time)
    catalog.record(announcement())
    catalog.mark_gone("u1")
    restarted = announcement(incarnation=SECOND_START, sequence=1)
    catalog.record(restarted)
    catalog.mark_gone("u2")
    catalog.mark_gone("u3")
    assert catalog.working("plain") == [restarted]


async def test_service_does_not_change_within_a_start(autojump_clock):
    catalog = UpstreamCatalog(trio.current_time)
    catalog.record(announcement())
    assert not catalog.record(announcement(service="model", sequence=9))
    assert not catalog.record(announcement(service="?", sequence=9, is_leaving=True))
    assert catalog.working("plain") == [announcement()]


ANNOUNCEMENTS = st.lists(
    st.builds(
        announcement,
        incarnation=st.sampled_from([0, FIRST_START, SECOND_START]),
        sequence=st.integers(1, 9),
        is_leaving=st.booleans(),
        service=st.sampled_from(["plain", "plain", "plain", "model"]),
    ),
    min_size=1,
    max_size=12,
)


@settings(deadline=None, suppress_health_check=list(HealthCheck))
@given(heard=ANNOUNCEMENTS, order=st.randoms(use_true_random=False))
def test_any_order_ends_at_the_latest_start(heard, order):
    heard = [
        each
        for each in heard
        if each.service == "plain" or each.incarnation < SECOND_START
    ]
    if not heard:
        return
    shuffled = [*heard, *heard]
    order.shuffle(shuffled)
    catalog = UpstreamCatalog(lambda: 0.0)
    for each in shuffled:
        before = catalog.get("u1")
        catalog.record(each)
        now = catalog.get("u1")
        if before is not None:
            assert now.incarnation >= before.incarnation
            if now.incarnation == before.incarnation:
                assert now.sequence >= before.sequence
                assert now.is_leaving >= before.is_leaving
                assert now.service == before.service
    latest = max(each.incarnation for each in heard)
    of_latest = [each for each in heard if each.incarnation == latest]
    known = catalog.get("u1")
    assert known.incarnation == latest
    if {each.service for each in of_latest} == {known.service}:
        assert known.sequence == max(each.sequence for each in of_latest)
        assert known.is_leaving == any(each.is_leaving for each in of_latest)


async def test_entry_host_drops_cache_state_of_restarted_upstream(autojump_clock):
    async with open_world() as world:
        await world.put(1)
        entry = world.entries["e0:1"]
        world.connector.scripts["u1:80"] = lambda sent: Reply(OK, (b"data: 1\n\n",))
        await world.announce("c0:1", "u1", "model", incarnation=FIRST_START)
        await trio.sleep(1.0)
        prompt = (b"pepperstep-prompt-prefix", b"aa:5000,bb:3000")
        for _ in range(2):
            await world.ask("e0:1", request("/stream/x", prompt))
        [upstream] = entry.catalog.working("model")
        prompts = entry._chooser._prompts
        parts = entry.relay._wire.read_request(
            request("/stream/x", prompt)
        ).prompt_parts
        assert prompts.missing_tokens(upstream.key, parts) == 0
        await world.announce(
            "c0:1", "u1", "model", sequence=1, incarnation=SECOND_START
        )
        await trio.sleep(1.0)
        [upstream] = entry.catalog.working("model")
        assert upstream.incarnation == SECOND_START
        assert prompts.missing_tokens(upstream.key, parts) == 8000


async def test_request_at_restarted_upstream_is_retried_at_once(
    autojump_clock,
):
    async with open_world() as world:
        await world.put(1)
        replies = iter([Reply(OK, delay=60.0), Reply(OK, (b"ok",))])
        world.connector.scripts["u1:80"] = lambda sent: next(replies)
        await world.announce("c0:1", "u1", "plain", incarnation=FIRST_START)
        await trio.sleep(1.0)
        exchanges: list[FakeExchange] = []

        async def ask() -> None:
            exchanges.append(await world.ask("e0:1", request("/safe/x")))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.2)
            await world.announce("c0:1", "u1", "plain", incarnation=SECOND_START)
            with trio.move_on_after(0.5):
                while not exchanges:
                    await trio.sleep(0.01)
        assert [each.status for each in exchanges] == [200]


async def test_later_incarnation_can_leave_again(autojump_clock):
    async with open_world() as world:
        await world.announce("c1:1", "u1", "plain", incarnation=FIRST_START)
        await world.announce(
            "c1:1", "u1", "plain", incarnation=FIRST_START, sequence=2, is_leaving=True
        )
        await world.announce("c1:1", "u1", "plain", incarnation=SECOND_START)
        await trio.sleep(1.0)
        await world.announce(
            "c1:1", "u1", "plain", incarnation=SECOND_START, sequence=2, is_leaving=True
        )
        world.kill("c1:1")
        await trio.sleep(1.0)
        for host in world.entries.values():
            assert host.catalog.working("plain") == []


async def send_heartbeat(
    host, body: bytes, upstream: str = "i-1", call: str = "Heartbeat"
):
    """Send a heartbeat or a deregistration and return the answer's status."""
    head = RequestHead(b"POST", f"/-/Replicas.{call}/{upstream}".encode(), ())
    exchange = FakeExchange(head, body, trio.current_time())
    await ControlHandler(host).handle(exchange)
    return exchange.status


INVALID_CHANGES = [
    *({"state": state} for state in ("warming", "", 3, None, ["ready"])),
    *({"service": service} for service in ("unheard-of", "", 3, None)),
    *({"address": address} for address in ("", "here", "10.0.0.9", "a:80", 80)),
    *({"born": born} for born in (1.5, -1, "1", 2**70, 2**62, True, None)),
    *({"sequence": number} for number in (1.5, -1, "1", 2**70, True, None)),
    *({"slots": number} for number in (1.5, -1, "1", 2**40)),
    *({"zone": zone} for zone in ("", 3, None)),
]


@pytest.mark.parametrize("changes", INVALID_CHANGES)
async def test_invalid_heartbeat_adds_no_upstream(autojump_clock, changes):
    async with open_world() as world:
        await world.put(1)
        await trio.sleep(0.5)
        host = world.controls["c0:1"]
        assert await send_heartbeat(host, json.dumps(HEARTBEAT).encode()) == 200
        [known] = host.catalog.working("plain")
        invalid = json.dumps(HEARTBEAT | {"sequence": 9} | changes).encode()
        assert await send_heartbeat(host, invalid, "i-2") == 400
        assert await send_heartbeat(host, invalid) in (200, 400)
        assert host.catalog.all() == [known]


@pytest.mark.parametrize(
    "missing", ["service", "address", "zone", "slots", "state", "sequence"]
)
async def test_heartbeat_without_a_field_adds_no_upstream(autojump_clock, missing):
    async with open_world() as world:
        await world.put(1)
        await trio.sleep(0.5)
        host = world.controls["c0:1"]
        body = {name: value for name, value in HEARTBEAT.items() if name != missing}
        assert await send_heartbeat(host, json.dumps(body).encode()) == 400
        assert host.catalog.all() == []


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    cut=st.integers(0, 200),
    noise=st.binary(max_size=6),
    path=st.sampled_from(["Heartbeat", "Deregister"]),
)
def test_corrupt_messages_are_refused(cut, noise, path):
    body = json.dumps(HEARTBEAT).encode()
    body = body[:cut] + noise + body[cut + len(noise) :]

    class AcceptingHost:
        """Accepts all messages that were decoded."""

        async def receive_announcement(self, announcement):
            announcement.to_message()

        async def mark_gone(self, upstream, incarnation):
            pass

    assert trio.run(send_heartbeat, AcceptingHost(), body, "i-1", path) in (200, 400)


async def test_end_without_a_name_is_refused(autojump_clock):
    async with open_world() as world:
        host = world.controls["c0:1"]
        assert await send_heartbeat(host, b"", upstream="", call="Deregister") == 400
        assert await send_heartbeat(host, b'{"born": 1.5}', call="Deregister") == 400


async def test_upstream_of_unknown_service_is_refused(autojump_clock):
    services = [{"name": name} for name in ("plain", "model", "later")]
    async with open_world() as world:
        host = world.controls["c0:1"]
        await world.put(5, document(5, services=services))
        await trio.sleep(0.5)
        await host.receive_announcement(announcement(service="later"))
        await world.put(6)
        await trio.sleep(0.5)
        # A known upstream of the removed service may still announce that it leaves.
        await host.receive_announcement(
            announcement(service="later", sequence=8, is_leaving=True)
        )
        with pytest.raises(Failure) as caught:
            unknown = Announcement("u2", "later", "u2:80", "z1")
            await host.receive_announcement(unknown)
        assert caught.value.code is Code.INVALID_REQUEST
