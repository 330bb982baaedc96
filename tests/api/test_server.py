"""The HTTP API over real connections: client library, limits and TLS."""

import json
import socket
import ssl
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial

import httpcore
import openai
import pytest
import trio
import trio.testing
import trustme

from pepperstep.adapters.http_api import serve_api
from pepperstep.configuration import Limits
from pepperstep.errors import Code, Failure
from pepperstep.settings import HostSettings, Settings, TlsSettings
from tests.api.fake_node import ANSWER, CALLER_KEY, FakeNode
from tests.api.test_callers import MESSAGES, PROMPT

TEXT = "".join(ANSWER)
HEADERS = {"authorization": f"Bearer {CALLER_KEY}"}


def settings_of(port: int, tls: TlsSettings | None = None) -> Settings:
    """Return settings of a host on the loopback interface."""
    host = HostSettings(
        name="entry-0",
        zone="zone-a",
        region="dosanko",
        site="kitahara",
        peer_address="127.0.0.1:1",
        caller_address=f"127.0.0.1:{port}",
    )
    return Settings(host=host, tls=tls or TlsSettings())


@asynccontextmanager
async def serving(
    node: FakeNode,
    port: int,
    tls: TlsSettings | None = None,
    application=None,
    is_leaving=lambda: False,
):
    """Serve a node, or `application`; yield the event that stops the server."""
    application = application or node.api()
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        serve = partial(
            serve_api,
            application,
            settings_of(port, tls),
            lambda: node.configuration.limits,
            stop.wait,
            is_leaving=is_leaving,
        )
        await nursery.start(lambda task_status: serve(task_status=task_status))
        yield stop
        stop.set()


def ask_openai(port: int) -> tuple[str, str, list[str], str]:
    """Make calls with the OpenAI client; return their results."""
    url = f"http://127.0.0.1:{port}/v1"
    client = openai.OpenAI(base_url=url, api_key=CALLER_KEY)
    whole = client.chat.completions.create(model="zaseki-model", messages=MESSAGES)
    stream = client.chat.completions.create(
        model="zaseki-model",
        messages=MESSAGES,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    models = [model.id for model in client.models.list()]
    plain = client.completions.create(model="zaseki-model", prompt="Seat 80 guests.")
    assert chunks[-1].usage.completion_tokens == len(ANSWER)
    return whole.choices[0].message.content, text, models, plain.choices[0].text


def call_until_given_up(port: int, path: str = "/v1") -> openai.APIStatusError:
    """Return the error of a call that the OpenAI client gives up on."""
    url = f"http://127.0.0.1:{port}{path}"
    client = openai.OpenAI(base_url=url, api_key=CALLER_KEY, max_retries=2)
    with pytest.raises(openai.APIStatusError) as caught:
        client.completions.create(model="zaseki-model", prompt="Seat 80 guests.")
    return caught.value


async def test_openai_client(unused_tcp_port):
    async with serving(FakeNode(), unused_tcp_port):
        answers = await trio.to_thread.run_sync(ask_openai, unused_tcp_port)
    assert answers == (TEXT, TEXT, ["zaseki-model"], TEXT)


@pytest.mark.parametrize(("retry_after", "tries"), [(None, 1), (0.001, 3)])
async def test_openai_client_retries_only_if_allowed(
    unused_tcp_port, retry_after, tries
):
    node = FakeNode()
    seen = []

    async def submit(request):
        seen.append(request)
        raise Failure(Code.NO_UPSTREAM, "None.", retry_after=retry_after)

    node.requests.submit = submit
    async with serving(node, unused_tcp_port):
        error = await trio.to_thread.run_sync(call_until_given_up, unused_tcp_port)
    assert (error.code, len(seen)) == (Code.NO_UPSTREAM, tries)


@pytest.mark.parametrize("status", [408, 409, 429, 503])
async def test_openai_client_repeats_no_call_that_a_service_ran(
    unused_tcp_port, status
):
    """Guards against calls that run once for each status of the service."""
    node = FakeNode()
    node.requests.service_status = status
    path = "/services/venue-desk"
    async with serving(node, unused_tcp_port):
        error = await trio.to_thread.run_sync(
            call_until_given_up, unused_tcp_port, path
        )
    assert (error.status_code, len(node.requests.submitted)) == (status, 1)


async def test_large_body_is_refused_while_being_sent(unused_tcp_port):
    head = f"authorization: Bearer {CALLER_KEY}\r\ncontent-length: 30000000"
    async with serving(FakeNode(), unused_tcp_port):
        stream = await trio.open_tcp_stream("127.0.0.1", unused_tcp_port)
        start = f"POST /v1/completions HTTP/1.1\r\nhost: x\r\n{head}\r\n\r\n"
        await stream.send_all(start.encode() + b"x" * 1_000_000)
        answer = b""
        while b"body_too_large" not in answer:
            answer += await stream.receive_some(10_000)
        assert answer.startswith(b"HTTP/1.1 413")
        # Fails if the server has already closed the connection.
        await stream.send_all(b"x" * 29_000_000)


async def test_connection_limit_follows_configuration(unused_tcp_port):
    url = f"http://127.0.0.1:{unused_tcp_port}/healthz"
    node = FakeNode()
    async with serving(node, unused_tcp_port):
        limits = replace(node.configuration.limits, max_connections=2)
        node.store.current = replace(node.store.current, limits=limits)
        open_streams = [await trio.open_tcp_stream("127.0.0.1", unused_tcp_port)]
        open_streams.append(await trio.open_tcp_stream("127.0.0.1", unused_tcp_port))
        for stream in open_streams:
            await stream.send_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await stream.receive_some(1000)).startswith(b"HTTP/1.1 200")
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request("GET", url)
        assert answer.status == 503
        assert json.loads(answer.content)["error"]["code"] == Code.OVERLOADED
        for stream in open_streams:
            await stream.aclose()


async def test_graceful_stop_finishes_open_streams(unused_tcp_port):
    url = f"http://127.0.0.1:{unused_tcp_port}/v1/completions"
    node = FakeNode()
    body = json.dumps(PROMPT | {"stream": True}).encode()
    async with serving(node, unused_tcp_port) as stop:
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream(
                "POST", url, headers=HEADERS, content=body
            ) as response:
                parts = []
                async for part in response.aiter_stream():
                    parts.append(part)
                    stop.set()
    assert b"[DONE]" in b"".join(parts)
    with pytest.raises(OSError):
        await trio.open_tcp_stream("127.0.0.1", unused_tcp_port)


class RawConnection:
    """Connection whose data the kernel takes while no task of the server runs."""

    def __init__(self, port: int):
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setblocking(False)

    def is_open(self) -> bool:
        """Whether the server hasn't closed the connection."""
        try:
            return self._socket.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True

    def send(self, data: bytes) -> None:
        """Send data without a checkpoint."""
        self._socket.sendall(data)

    async def receive(self) -> bytes:
        """Return what arrives until the answer is whole or the connection ends."""
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(self._socket))
        answer = b""
        with trio.fail_after(RECEIVE_SECONDS):
            while not answer.endswith(b"}"):
                try:
                    part = await stream.receive_some(10_000)
                except trio.BrokenResourceError:
                    break
                if not part:
                    break
                answer += part
        return answer


RECEIVE_SECONDS = 5.0
HEALTH_CALL = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"


def statuses_of(answers: list[bytes]) -> list[bytes]:
    """Return the statuses of answers, b"" for those that were cut."""
    return [answer[9:12] for answer in answers]


async def test_requests_that_are_not_accepted_are_cut_by_a_stop(unused_tcp_port):
    async with serving(FakeNode(), unused_tcp_port) as stop:
        connections = [RawConnection(unused_tcp_port) for _ in range(50)]
        for each in connections:
            each.send(HEALTH_CALL)
        stop.set()
        answers = [await each.receive() for each in connections]
    assert statuses_of(answers) == [b"200"] * 50


async def test_first_request_of_a_new_connection_is_cut_by_a_stop(unused_tcp_port):
    async with serving(FakeNode(), unused_tcp_port) as stop:
        connection = RawConnection(unused_tcp_port)
        stop.set()
        await trio.sleep(0.1)
        connection.send(HEALTH_CALL)
        assert statuses_of([await connection.receive()]) == [b"200"]


@pytest.mark.parametrize("ticks", range(8))
async def test_requests_that_arrive_beside_a_stop_are_cut(unused_tcp_port, ticks):
    async with serving(FakeNode(), unused_tcp_port) as stop:
        connections = [RawConnection(unused_tcp_port) for _ in range(50)]
        for each in connections:
            each.send(HEALTH_CALL)
            await each.receive()
        await trio.testing.wait_all_tasks_blocked()
        stop.set()
        for _ in range(ticks):
            await trio.lowlevel.checkpoint()
        used = [each for each in connections if each.is_open()]
        for each in used:
            each.send(HEALTH_CALL)
        answers = [await each.receive() for each in used]
    assert statuses_of(answers) == [b"200"] * len(used)


@pytest.mark.parametrize("is_first", [True, False])
async def test_request_that_is_partly_read_is_cut_by_a_stop(unused_tcp_port, is_first):
    async with serving(FakeNode(), unused_tcp_port) as stop:
        connection = RawConnection(unused_tcp_port)
        if not is_first:
            connection.send(HEALTH_CALL)
            await connection.receive()
        connection.send(HEALTH_CALL[:20])
        await trio.testing.wait_all_tasks_blocked()
        stop.set()
        await trio.sleep(0.2)
        connection.send(HEALTH_CALL[20:])
        assert statuses_of([await connection.receive()]) == [b"200"]


async def test_connections_without_request_keep_a_stopped_server_alive(
    unused_tcp_port, autojump_clock
):
    async with serving(FakeNode(), unused_tcp_port) as stop:
        silent, partial_request = (RawConnection(unused_tcp_port) for _ in range(2))
        partial_request.send(HEALTH_CALL[:20])
        await trio.sleep(0.1)
        stop.set()
        stopped_at = trio.current_time()
    assert trio.current_time() - stopped_at < 30.0
    assert await silent.receive() == await partial_request.receive() == b""


async def test_answers_of_a_leaving_host_invite_further_requests(unused_tcp_port):
    """Guards against requests that are on their way to a connection that is closed."""
    leaving = trio.Event()
    answers = []
    async with serving(FakeNode(), unused_tcp_port, is_leaving=leaving.is_set):
        connection = RawConnection(unused_tcp_port)
        connection.send(HEALTH_CALL)
        answers.append(await connection.receive())
        leaving.set()
        connection.send(HEALTH_CALL)
        answers.append(await connection.receive())
    assert [b"connection: close" in answer for answer in answers] == [False, True]


async def test_large_answer_to_slow_caller_stays_in_order(unused_tcp_port):
    pieces = [b"%06d" % n * 5000 for n in range(300)]

    async def application(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for piece in pieces:
            event = {"type": "http.response.body", "body": piece, "more_body": True}
            await send(event)
        await send({"type": "http.response.body", "body": b""})

    url = f"http://127.0.0.1:{unused_tcp_port}/"
    async with serving(FakeNode(), unused_tcp_port, application=application):
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream("GET", url) as response:
                # Lets the caller's receive buffer fill up.
                await trio.sleep(0.2)
                body = await response.aread()
    assert body == b"".join(pieces)


async def test_pipelined_calls_are_answered_in_order(unused_tcp_port):
    paths = [b"/healthz", b"/nothing", b"/readyz", b"/healthz"]
    calls = [b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path for path in paths]
    answers = b""
    async with serving(FakeNode(), unused_tcp_port):
        stream = await trio.open_tcp_stream("127.0.0.1", unused_tcp_port)
        await stream.send_all(b"".join(calls))
        while answers.count(b'"status":"ok"') < 2:
            answers += await stream.receive_some(10_000)
        await stream.aclose()
    statuses = [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"404", b"200", b"200"]


async def test_callers_listener_uses_tls(tmp_path, unused_tcp_port):
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    chain, key = tmp_path / "chain.pem", tmp_path / "key.pem"
    chain.write_bytes(b"".join(blob.bytes() for blob in certificate.cert_chain_pems))
    certificate.private_key_pem.write_to_path(key)
    tls = TlsSettings(caller_certificate=str(chain), caller_key=str(key))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    url = f"https://127.0.0.1:{unused_tcp_port}/v1/models"
    async with serving(FakeNode(), unused_tcp_port, tls):
        async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
            answer = await pool.request("GET", url, headers=HEADERS)
        assert answer.status == 200
        async with httpcore.AsyncConnectionPool() as pool:
            with pytest.raises(httpcore.ConnectError):
                await pool.request("GET", url, headers=HEADERS)
            with pytest.raises(httpcore.RemoteProtocolError):
                await pool.request("GET", url.replace("https", "http"))


async def test_address_in_use_is_an_error(unused_tcp_port):
    async with serving(FakeNode(), unused_tcp_port):
        with pytest.raises(OSError):
            await serve_api(
                FakeNode().api(),
                settings_of(unused_tcp_port),
                Limits,
                trio.sleep_forever,
            )
