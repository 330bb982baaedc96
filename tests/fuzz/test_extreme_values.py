"""Numbers of any size in operators' documents, headers and heartbeats.

A number that passes a border ends no host: not by a division, a value that doesn't fit
a field of a message between hosts, or one that a library refuses.
"""

import json
from contextlib import asynccontextmanager

import pytest
import trio

from pepperstep.errors import InvalidDocument
from pepperstep.fakes.relaying import FakeExchange, Reply, Sent
from pepperstep.platform import decode_table
from pepperstep.platform.calls import ControlHandler
from pepperstep.ports.exchange import AnswerHead, RequestHead
from pepperstep.scheduling import SchedulingSettings
from tests.relaying.world import document, open_world, request

ID = b"pepperstep-attempt-id"
# JSON numbers and digits of headers.
NUMBERS = [
    "0",
    "-1",
    "5e-324",
    "1e-300",
    "1e300",
    "1.7e308",
    "0.5",
    str(2**31),
    str(2**63),
    str(2**64),
    str(10**26),
]
HEADER_VALUES = [
    *(each.encode() for each in NUMBERS),
    b"nan",
    b"inf",
    b"1e999",
    b"9" * 5_000,
    b"\xb2",
    b"",
]
PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/resumable/1")
PARTS = b"aa:100,bb:50"


def set_number(table: dict, path: tuple, number: str) -> bytes:
    """Return a document with a number at a path of keys and indexes."""
    mark = "the number"
    *parents, last = path
    target = table
    for key in parents:
        target = target[key]
    target[last] = mark
    return json.dumps(table).encode().replace(f'"{mark}"'.encode(), number.encode())


def full_document(version: int) -> dict:
    """Return a document with all numbers that operators may set."""
    table = json.loads(document(version))
    for route in table["routes"]:
        route |= {"priority": 1, "gap_target_ms": 100.0, "sticky_sessions": True}
    weights = [{"service": name, "weight": 1.0} for name in ("plain", "plain")]
    split = {"service": None, "traffic_split": weights}
    table["routes"][0] |= split
    for service in table["services"]:
        service["max_connections"] = 90
        service["engine"] = {"slots": 4, "kv_capacity_tokens": 1_000}
        service["autoscale"] = {
            "min_replicas": 1,
            "max_replicas": 3,
            "boot_s": 1.0,
            "spot_price": 0.3,
            "zone_prices": {"z1": 1.0},
        }
    table["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    quota = {"unit": "token_stream", "plain_tokens": 5, "rate_per_s": 1e6, "burst": 1e6}
    table["tenants"][0] |= quota | {"priority": 1}
    return table


FIELDS = [
    ("version",),
    *(
        ("routes", index, name)
        for index in (1, 3)
        for name in ("timeout_ms", "target_latency_ms", "priority", "max_attempts")
    ),
    ("routes", 2, "gap_target_ms"),
    ("routes", 0, "traffic_split", 0, "weight"),
    ("services", 1, "max_connections"),
    *(("services", 1, "engine", name) for name in ("slots", "kv_capacity_tokens")),
    *(
        ("services", 1, "autoscale", name)
        for name in ("min_replicas", "max_replicas", "boot_s", "spot_price")
    ),
    ("services", 1, "autoscale", "zone_prices", "z1"),
    *(
        ("limits", name)
        for name in (
            "max_header_bytes",
            "max_body_bytes",
            "header_timeout_ms",
            "idle_timeout_ms",
        )
    ),
    *(
        ("tenants", 0, name)
        for name in ("priority", "plain_tokens", "rate_per_s", "burst")
    ),
]


def served(sent: Sent) -> Reply:
    """Answer a request."""
    head = AnswerHead(200, ((ID, sent.head.first(ID)),))
    return Reply(head, (b"id: 1\ndata: a\n\n",), delay=0.02)


@asynccontextmanager
async def serving(is_scheduled: bool):
    """Yield a world with an upstream of each service; any host's end fails it."""
    scheduling = SchedulingSettings() if is_scheduled else None
    async with open_world(entries=2, scheduling=scheduling) as world:
        for service in ("plain", "model"):
            world.connector.scripts[f"{service}0:80"] = served
            await world.announce("c0:1", f"{service}0", service)
        await trio.sleep(1.0)
        yield world


async def ask_all(world, *headers) -> set[int]:
    """Send a request of each kind to each host; return the statuses."""
    statuses = set()

    async def ask(entry: str, path: str, number: int) -> None:
        head = request(path, (b"pepperstep-prompt-prefix", PARTS), *headers)
        kept = [each for each in head.headers if each[0] != ID]
        own = (ID, b"id-%s-%d" % (entry.encode(), number))
        exchange = FakeExchange(
            RequestHead(head.method, head.target, (*kept, own)),
            b"",
            trio.current_time(),
        )
        with trio.move_on_after(3.0):
            await world.entries[entry].relay.handle(exchange)
        statuses.add(exchange.status)

    async with trio.open_nursery() as nursery:
        for entry in world.entries:
            for number, path in enumerate(PATHS):
                nursery.start_soon(ask, entry, path, number)
    await trio.sleep(1.0)
    return statuses


async def check_serves(world, version: int) -> None:
    """Check that the hosts serve after a usual document."""
    with trio.fail_after(5.0):
        await world.put(version)
    await trio.sleep(2.0)
    assert 200 in await ask_all(world)


@pytest.mark.parametrize("is_scheduled", [False, True])
@pytest.mark.parametrize("path", FIELDS, ids=lambda path: ".".join(map(str, path)))
async def test_no_number_in_a_document_ends_a_host(autojump_clock, path, is_scheduled):
    """Guards against a valid document with which a host ends by itself."""
    async with serving(is_scheduled) as world:
        version = 2
        for number in NUMBERS:
            version += 1
            data = set_number(full_document(version), path, number)
            try:
                table = decode_table(data)
            except InvalidDocument:
                continue
            version = table.version
            with trio.fail_after(5.0):
                await world.put(version, data)
            await trio.sleep(0.5)
            await ask_all(world)
        await check_serves(world, version + 1)


async def test_weights_whose_sum_is_infinite_are_relative(autojump_clock):
    """Guards against a split route none of whose requests is answered."""
    table = full_document(2)
    for split in table["routes"][0]["traffic_split"]:
        split["weight"] = 1.7e308
    async with serving(is_scheduled=False) as world:
        await world.put(2, json.dumps(table).encode())
        await trio.sleep(2.0)
        assert await ask_all(world) == {200}


REQUEST_HEADERS = {
    "deadline": (b"pepperstep-deadline-ms", b"%b"),
    "tokens": (b"pepperstep-token-counts", b"%b,5"),
    "answer tokens": (b"pepperstep-token-counts", b"5,%b"),
    "hint": (b"pepperstep-length-hint", b"%b"),
    "parts": (b"pepperstep-prompt-prefix", b"aa:%b,cc:7"),
    "last part": (b"pepperstep-prompt-prefix", b"aa:7,cc:%b"),
    "event": (b"last-event-id", b"%b"),
}


def full_quota(version: int) -> bytes:
    """Return a document with a quota in tokens that any request fits into."""
    quota = {"unit": "token_stream", "plain_tokens": 5, "rate_per_s": 1e12}
    tenant = {"name": "desk", "api_keys": ["key-of-desk"], "burst": 1e12} | quota
    return document(version, tenants=[tenant])


@pytest.mark.parametrize("is_scheduled", [False, True])
@pytest.mark.parametrize("name", REQUEST_HEADERS)
async def test_no_number_of_a_caller_ends_a_host(autojump_clock, name, is_scheduled):
    """Guards against a request that ends the host that admits it."""
    header, template = REQUEST_HEADERS[name]
    async with serving(is_scheduled) as world:
        await world.put(2, full_quota(2))
        await trio.sleep(2.0)
        for value in HEADER_VALUES:
            head = request("/safe/1")
            kept = tuple(each for each in head.headers if each[0] != header)
            sent = (*kept, (header, template.replace(b"%b", value)))
            for target in PATHS:
                exchange = FakeExchange(
                    RequestHead(b"POST", target.encode(), sent),
                    b"",
                    trio.current_time(),
                )
                with trio.move_on_after(3.0):
                    await world.entries["e0:1"].relay.handle(exchange)
            await trio.sleep(0.5)
        await check_serves(world, 3)


ANSWER_HEADERS = (
    b"server-limit",
    b"retry-after",
    b"keep-alive",
    b"pepperstep-weight-versions",
)


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("name", ANSWER_HEADERS)
async def test_no_number_of_an_upstream_ends_a_host(autojump_clock, name, status):
    """Guards against an answer that ends the host that reads it."""
    async with serving(is_scheduled=False) as world:
        for value in HEADER_VALUES:
            value = b"timeout=" + value if name == b"keep-alive" else value

            def answer(sent: Sent, value=value) -> Reply:
                headers = [(ID, sent.head.first(ID)), (name, value)]
                if status == 503:
                    headers.append((b"pepperstep-not-executed", b"1"))
                return Reply(AnswerHead(status, tuple(headers)), (b"data: a\n\n",))

            for service in ("plain", "model"):
                world.connector.scripts[f"{service}0:80"] = answer
            await ask_all(world)
        assert set(world.entries) == {"e0:1", "e1:1"}


BEAT = {
    "service": "plain",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "slots": 4,
    "state": "ready",
    "sequence": 7,
    "cold_remaining_ms": 0,
    "leaves_ms": 0,
    "born": 5,
}
ADDRESSES = (
    "10.0.0.9:80800",
    "10.0.0.9:0",
    "999.0.0.9:80",
    "10.0.0.9:99999",
    "00.00.00.00:00",
)


@pytest.mark.parametrize("is_scheduled", [False, True])
async def test_no_number_in_a_heartbeat_ends_a_host(autojump_clock, is_scheduled):
    """Guards against a heartbeat that ends the hosts that learn of it."""
    numbers = ("slots", "sequence", "cold_remaining_ms", "leaves_ms", "born")
    beats = [
        set_number(dict(BEAT), (name,), number)
        for name in numbers
        for number in NUMBERS
    ]
    beats += [json.dumps(BEAT | {"address": each}).encode() for each in ADDRESSES]
    async with serving(is_scheduled) as world:
        handler = ControlHandler(world.controls["c0:1"])
        for index, body in enumerate(beats):
            target = b"/-/Replicas.Heartbeat/extra-%d" % index
            exchange = FakeExchange(RequestHead(b"POST", target, ()), body, 0.0)
            await handler.handle(exchange)
            assert exchange.status in (200, 400)
            if index % 10 == 9:
                await ask_all(world)
        await check_serves(world, 2)


@pytest.mark.parametrize("address", ADDRESSES)
async def test_address_that_cannot_be_connected_to_is_refused(autojump_clock, address):
    async with serving(is_scheduled=False) as world:
        handler = ControlHandler(world.controls["c0:1"])
        body = json.dumps(BEAT | {"address": address}).encode()
        head = RequestHead(b"POST", b"/-/Replicas.Heartbeat/extra", ())
        exchange = FakeExchange(head, body, 0.0)
        await handler.handle(exchange)
        assert exchange.status == 400
