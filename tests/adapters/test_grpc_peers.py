"""Peer network over real sockets of this machine."""

import threading
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
import trio

from demo.launcher import free_ports
from pepperstep.adapters import grpc_peers
from pepperstep.adapters.grpc_peers import GrpcPeers
from pepperstep.errors import Code, Failure
from pepperstep.proto.journal_pb2 import CancelDone, CancelRequest

LONG = 20.0


@asynccontextmanager
async def serving(name: str, port: int):
    peers = GrpcPeers(name, f"127.0.0.1:{port}")
    async with trio.open_nursery() as nursery:
        await nursery.start(peers.serve)
        yield peers
        nursery.cancel_scope.cancel()


async def answer(message: CancelRequest, sender: str) -> CancelDone:
    if message.request_id == "wait":
        await trio.sleep_forever()
    if message.request_id == "refuse":
        raise Failure(Code.FENCED, "No.")
    if message.request_id == "break":
        raise ZeroDivisionError
    return CancelDone(is_found=message.request_id == sender)


@pytest.mark.parametrize(
    ("request_id", "timeout", "code"),
    [
        ("refuse", LONG, Code.FENCED),
        ("break", LONG, Code.INTERNAL),
        ("wait", 0.05, Code.PEER_UNREACHABLE),
    ],
)
@pytest.mark.parametrize("is_single", [False, True])
async def test_failures_have_codes(request_id, timeout, code, is_single):
    one, two = free_ports(2)
    async with serving("one", one) as first, serving("two", two) as second:
        second.handle(CancelRequest, answer)
        first.set_address("two", f"127.0.0.1:{two}")
        call = first.call_single if is_single else first.call
        reply = await call("two", CancelRequest(request_id="one"), LONG)
        assert reply.is_found
        with pytest.raises(Failure) as raised:
            await call("two", CancelRequest(request_id=request_id), timeout)
    assert raised.value.code == code


async def test_a_slow_handler_holds_nobody_up():
    one, two = free_ports(2)
    async with serving("one", one) as first, serving("two", two) as second:
        second.handle(CancelRequest, answer)
        first.set_address("two", f"127.0.0.1:{two}")
        async with trio.open_nursery() as nursery:
            waiting = CancelRequest(request_id="wait")
            nursery.start_soon(first.call, "two", waiting, LONG)
            for _ in range(100):
                done = await first.call("two", CancelRequest(request_id="one"), LONG)
                assert done.is_found
            nursery.cancel_scope.cancel()


async def test_calls_work_again_after_the_peer_started_again():
    one, two = free_ports(2)
    message = CancelRequest(request_id="one")
    async with serving("one", one) as first:
        first.set_address("two", f"127.0.0.1:{two}")
        with pytest.raises(Failure):
            await first.call("two", message, LONG)
        for _ in range(2):
            async with serving("two", two) as second:
                second.handle(CancelRequest, answer)
                while not await _is_answered(first, message):
                    await trio.sleep(0.01)
            with pytest.raises(Failure):
                while True:
                    await first.call("two", message, LONG)


async def _is_answered(peers: GrpcPeers, message: CancelRequest) -> bool:
    try:
        return (await peers.call("two", message, LONG)).is_found
    except Failure:
        return False


async def test_a_connection_that_does_not_open_is_tried_again(monkeypatch):
    """As to a host that had no power for its opening packet."""
    # Silent streams aren't what ends it: that takes longer.
    monkeypatch.setattr("pepperstep.adapters.peer_streams._SILENCE_SECONDS", 60.0)
    one, two, between = free_ports(3)
    streams = []

    async def swallow_first(stream: trio.SocketStream) -> None:
        streams.append(stream)
        if len(streams) == 1:
            await trio.sleep_forever()
        target = await trio.open_tcp_stream("127.0.0.1", two)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_copy, stream, target)
            nursery.start_soon(_copy, target, stream)

    message = CancelRequest(request_id="one")
    async with (
        trio.open_nursery() as nursery,
        serving("one", one) as first,
        serving("two", two) as second,
    ):
        second.handle(CancelRequest, answer)
        listeners = await trio.open_tcp_listeners(between, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, swallow_first, listeners)
        first.set_address("two", f"127.0.0.1:{between}")
        # Without it, the first try lasts 20 s.
        with trio.fail_after(15.0):
            while not await _is_answered(first, message):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def _copy(source: trio.SocketStream, target: trio.SocketStream) -> None:
    async for data in source:
        await target.send_all(data)


async def test_connections_without_calls_are_closed(monkeypatch):
    """Each has threads at both ends, and a host may call many others one day."""
    monkeypatch.setattr(grpc_peers, "_IDLE_SECONDS", 0.2)
    monkeypatch.setattr(grpc_peers, "_LOOK_SECONDS", 0.0)
    one, *others = free_ports(6)
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(serving("one", one))
        for number, port in enumerate(others):
            peer = await stack.enter_async_context(serving(f"peer{number}", port))
            peer.handle(CancelRequest, answer)
            first.set_address(f"peer{number}", f"127.0.0.1:{port}")
            await first.call(f"peer{number}", CancelRequest(), LONG)
        assert len(reading_threads()) == 5
        await trio.sleep(0.3)
        await first.call("peer0", CancelRequest(), LONG)
        with trio.fail_after(LONG):
            while reading_threads() != ["to-peer0"]:
                await trio.sleep(0.05)
        # They are opened again when they are needed.
        await first.call("peer3", CancelRequest(), LONG)


def reading_threads() -> list[str]:
    names = (thread.name for thread in threading.enumerate())
    return sorted(name for name in names if name.startswith("to-peer"))


async def test_single_calls_leave_no_threads_behind():
    """With a stream to each of many peers, two threads waited at both ends."""
    one, *others = free_ports(9)
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(serving("one", one))
        before = threading.active_count()
        for number, port in enumerate(others):
            peer = await stack.enter_async_context(serving(f"peer{number}", port))
            peer.handle(CancelRequest, answer)
            first.set_address(f"peer{number}", f"127.0.0.1:{port}")
            for _ in range(5):
                await first.call_single(f"peer{number}", CancelRequest(), LONG)
        with trio.fail_after(LONG):
            # A server keeps the thread that has answered, and one that serves.
            while threading.active_count() > before + 2 * len(others) + 2:
                await trio.sleep(0.05)


async def test_single_calls_reach_a_peer_that_comes_back():
    one, two = free_ports(2)
    async with serving("one", one) as first:
        first.set_address("two", f"127.0.0.1:{two}")
        for _ in range(4):
            with pytest.raises(Failure):
                await first.call_single("two", CancelRequest(), 0.2)
        async with serving("two", two) as second:
            second.handle(CancelRequest, answer)
            with trio.fail_after(5.0):
                while True:
                    try:
                        await first.call_single("two", CancelRequest(), 0.5)
                    except Failure:
                        await trio.sleep(0.05)
                    else:
                        break
