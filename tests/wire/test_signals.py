"""Signals in upstreams' answers must bind all entry hosts (real daemons, loopback).

The signals are rate limits, leaving, and refusals with a time to retry.
"""

from functools import partial

import trio

from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Site, StandInUpstream
from tests.wire.test_wire import KEY, start_all, table

CALLER_COUNT = 10
PAUSE_SECONDS = 0.05
RATE_LIMIT = 2.0
# A limit holds from this time after it was first stated.
SETTLING_SECONDS = 3.0
# Length of the windows in which requests are counted.
WINDOW_SECONDS = 4.0
# Retry-After of a refusal, and the time until the refused host complies.
RETRY_AFTER_SECONDS = 3.0
NOTICE_SECONDS = 0.5


class SignalingUpstream(StandInUpstream):
    """An upstream that adds settable signal headers to its answers, or refuses."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.signal_headers: tuple[tuple[bytes, bytes], ...] = ()
        self.is_refusing = False
        self.request_times: list[float] = []

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.request_times.append(trio.current_time())
        headers = (
            (b"pepperstep-attempt-id", exchange.head.first(b"pepperstep-attempt-id")),
            (b"pepperstep-replica-seal", self.name.encode()),
            *self.signal_headers,
        )
        if self.is_refusing:
            refusal = ((b"pepperstep-not-executed", b"1"), (b"retry-after", b"3"))
            await exchange.answer(Answer(503, b"", (*headers, *refusal)))
        else:
            await exchange.answer(Answer(200, exchange.body, headers))

    def requests_since(self, begin: float) -> int:
        """Return the number of requests since a time."""
        return sum(each >= begin for each in self.request_times)


async def _is_known(site: Site, entry: str, path: str) -> bool:
    """Whether an entry host answers requests for a path."""
    received = await site.request(entry, path, KEY, body=b"chart")
    return received is not None and received.status == 200


async def send_requests(site: Site, seconds: float) -> list[int]:
    """Send requests to both entry hosts; return the statuses, 0 without answer."""
    statuses: list[int] = []

    async def send_forever(caller: int) -> None:
        while True:
            entry = f"entry-{4 + caller % 2}"
            received = await site.request(entry, "/once/1", KEY, body=b"chart")
            statuses.append(0 if received is None else received.status)
            await trio.sleep(PAUSE_SECONDS)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for caller in range(CALLER_COUNT):
                nursery.start_soon(send_forever, caller)
    return statuses


async def test_rate_limit_binds_both_entry_hosts(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        limited = await site.upstream("u2", "plain", 10, SignalingUpstream)
        limited.signal_headers = ((b"server-limit", b"%.1f" % RATE_LIMIT),)
        await send_requests(site, 2.0)
        begin = trio.current_time()
        statuses = await send_requests(site, SETTLING_SECONDS + 2 * WINDOW_SECONDS)
        request_times = [
            each for each in limited.request_times if each >= begin + SETTLING_SECONDS
        ]
        assert request_times
        for first in request_times:
            count = sum(
                first <= each < first + WINDOW_SECONDS for each in request_times
            )
            assert count <= 1.5 * RATE_LIMIT * WINDOW_SECONDS + 5
        assert set(statuses) == {200}


async def test_upstream_that_signals_leaving_gets_no_requests(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        leaving = await site.upstream("u2", "plain", 10, SignalingUpstream)
        await send_requests(site, 2.0)
        assert leaving.request_times
        leaving.signal_headers = ((b"server-leaving", b"1"),)
        await send_requests(site, 2.0)
        begin = trio.current_time()
        statuses = await send_requests(site, 3.0)
        assert leaving.requests_since(begin) == 0
        assert set(statuses) == {200}


async def test_retry_after_of_refusal_is_respected(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        await site.upstream("u3", "plain", 11)
        route = {"name": "once", "host": "a.example", "path_prefix": "/once/"}
        route |= {"timeout_ms": 9000, "service": "plain"}
        route |= {"kind": "safe", "max_attempts": 3}
        probe = route | {"name": "probe", "path_prefix": "/probe/"}
        routes = table(8, routes=[route, probe])
        await site.operate(b"POST", "/-/Config.Replace", routes)
        for entry in ("entry-4", "entry-5"):
            await site.wait(partial(_is_known, site, entry, "/probe/1"))
        refusing = await site.upstream("u2", "plain", 10, SignalingUpstream)
        refusing.is_refusing = True
        statuses = await send_requests(site, 8.0)
        assert refusing.request_times
        assert set(statuses) == {200}
        # Each of the two hosts may send two requests in this time, besides the first.
        for first in refusing.request_times:
            begin, end = first + NOTICE_SECONDS, first + RETRY_AFTER_SECONDS
            count = sum(begin <= each < end for each in refusing.request_times)
            assert count <= 2 * 3
