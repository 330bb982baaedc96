"""`GrpcPeers` over loopback sockets: error codes, reconnects and idle connections."""

import threading
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
import trio

from demo.launcher import free_ports
from pepperstep.adapters import grpc_peers
from pepperstep.adapters.grpc_peers import GrpcPeers
from pepperstep.errors import Code, Failure
from pepperstep.proto.journal_pb2 import CancelDone, CancelRequest

LONG_TIMEOUT = 20.0


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
        ("refuse", LONG_TIMEOUT, Code.FENCED),
        ("break", LONG_TIMEOUT, Code.INTERNAL),
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
        reply = await call("two", CancelRequest(request_id="one"), LONG_TIMEOUT)
        assert reply.is_found
        with pytest.raises(Failure) as raised:
            await call("two", CancelRequest(request_id=request_id), timeout)
    assert raised.value.code == code


async def test_slow_handler_does_not_block_other_calls():
    one, two = free_ports(2)
    async with serving("one", one) as first, serving("two", two) as second:
        second.handle(CancelRequest, answer)
        first.set_address("two", f"127.0.0.1:{two}")
        async with trio.open_nursery() as nursery:
            waiting = CancelRequest(request_id="wait")
            nursery.start_soon(first.call, "two", waiting, LONG_TIMEOUT)
            for _ in range(100):
                done = await first.call(
                    "two", CancelRequest(request_id="one"), LONG_TIMEOUT
                )
                assert done.is_found
            nursery.cancel_scope.cancel()


async def test_calls_succeed_after_peer_restart():
    one, two = free_ports(2)
    message = CancelRequest(request_id="one")
    async with serving("one", one) as first:
        first.set_address("two", f"127.0.0.1:{two}")
        with pytest.raises(Failure):
            await first.call("two", message, LONG_TIMEOUT)
        for _ in range(2):
            async with serving("two", two) as second:
                second.handle(CancelRequest, answer)
                while not await _is_answered(first, message):
                    await trio.sleep(0.01)
            with pytest.raises(Failure):
                while True:
                    await first.call("two", message, LONG_TIMEOUT)


async def _is_answered(peers: GrpcPeers, message: CancelRequest) -> bool:
    try:
        return (await peers.call("two", message, LONG_TIMEOUT)).is_found
    except Failure:
        return False


async def test_connection_attempt_without_answer_is_retried(monkeypatch):
    """A connection attempt whose SYN is lost must soon be retried.

    A host without power loses the SYN, and gRPC's default attempt lasts 20 s.
    """
    # Rules out that the silence timeout closes the connection.
    monkeypatch.setattr("pepperstep.adapters.peer_streams._SILENCE_SECONDS", 60.0)
    one, two, proxy_port = free_ports(3)
    streams = []

    async def forward_all_but_first(stream: trio.SocketStream) -> None:
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
        listeners = await trio.open_tcp_listeners(proxy_port, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, forward_all_but_first, listeners)
        first.set_address("two", f"127.0.0.1:{proxy_port}")
        # With gRPC's default, the first connection attempt lasts 20 s.
        with trio.fail_after(15.0):
            while not await _is_answered(first, message):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def _copy(source: trio.SocketStream, target: trio.SocketStream) -> None:
    async for data in source:
        await target.send_all(data)


async def test_idle_connections_are_closed(monkeypatch):
    """An idle connection keeps threads at both ends, so it must be closed."""
    monkeypatch.setattr(grpc_peers, "_IDLE_SECONDS", 0.2)
    monkeypatch.setattr(grpc_peers, "_IDLE_CHECK_SECONDS", 0.0)
    one, *others = free_ports(6)
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(serving("one", one))
        for number, port in enumerate(others):
            peer = await stack.enter_async_context(serving(f"peer{number}", port))
            peer.handle(CancelRequest, answer)
            first.set_address(f"peer{number}", f"127.0.0.1:{port}")
            await first.call(f"peer{number}", CancelRequest(), LONG_TIMEOUT)
        assert len(reading_threads()) == 5
        await trio.sleep(0.3)
        await first.call("peer0", CancelRequest(), LONG_TIMEOUT)
        with trio.fail_after(LONG_TIMEOUT):
            while reading_threads() != ["to-peer0"]:
                await trio.sleep(0.05)
        # A call reopens a closed connection.
        await first.call("peer3", CancelRequest(), LONG_TIMEOUT)


def reading_threads() -> list[str]:
    names = (thread.name for thread in threading.enumerate())
    return sorted(name for name in names if name.startswith("to-peer"))


async def test_unary_calls_leave_no_threads():
    """Unary calls to many peers must not keep a thread for each.

    A stream to each peer occupied two threads at each end.
    """
    one, *others = free_ports(9)
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(serving("one", one))
        before = threading.active_count()
        for number, port in enumerate(others):
            peer = await stack.enter_async_context(serving(f"peer{number}", port))
            peer.handle(CancelRequest, answer)
            first.set_address(f"peer{number}", f"127.0.0.1:{port}")
            for _ in range(5):
                await first.call_single(f"peer{number}", CancelRequest(), LONG_TIMEOUT)
        with trio.fail_after(LONG_TIMEOUT):
            # Each server keeps one pool thread and one serving thread.
            while threading.active_count() > before + 2 * len(others) + 2:
                await trio.sleep(0.05)


async def test_unary_calls_succeed_after_peer_restart():
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


async def test_single_call_in_progress_delays_no_exit(monkeypatch):
    # The interpreter waits for the server's threads before the process exits.
    returned = threading.Event()

    class Slot(grpc_peers.AnswerSlot):
        def wait(self) -> bytes | None:
            answer = super().wait()
            returned.set()
            return answer

    monkeypatch.setattr(grpc_peers, "AnswerSlot", Slot)
    caller_port, server_port = free_ports(2)
    arrived = trio.Event()

    async def wait_forever(message: CancelRequest, sender: str) -> CancelDone:
        arrived.set()
        await trio.sleep_forever()

    async with serving("caller", caller_port) as caller, trio.open_nursery() as nursery:

        async def call() -> None:
            with pytest.raises(Failure):
                await caller.call_single("server", CancelRequest(), LONG_TIMEOUT)

        async with serving("server", server_port) as server:
            server.handle(CancelRequest, wait_forever)
            caller.set_address("server", f"127.0.0.1:{server_port}")
            nursery.start_soon(call)
            await arrived.wait()
        is_free = await trio.to_thread.run_sync(returned.wait, 5.0)
    assert is_free
