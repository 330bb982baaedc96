"""Agreements between hosts must survive restarts of real daemons on loopback.

A restarted host must not send to an upstream whose leaving was acknowledged, nor get
a fresh retry allowance.
"""

import signal
from collections import Counter

import trio

from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Site, StandInUpstream
from standins.retry_rule import RetryRule
from tests.wire.test_signals import SignalingUpstream, send_requests
from tests.wire.test_wire import KEY, SEEDS, start_all, table

ENTRY_HOSTS = ("entry-4", "entry-5")
# Requests may still arrive for this long after an acknowledgement.
NOTICE_SECONDS = 2.0
WINDOW_SECONDS = 10.0
RETRY_RULE = RetryRule(ratio=0.2, allowance=50.0, window=WINDOW_SECONDS)


async def restart(site: Site, names: list[str]) -> None:
    """Kill daemons, restart them, and wait until the entry hosts are ready."""
    for name in names:
        site.daemons[name].stop(signal.SIGKILL)
    for name in names:
        site.daemons[name].process.wait()
        number = int(name.rpartition("-")[2])
        site.start(name, number, is_first=False, seeds=SEEDS)
    for name in ENTRY_HOSTS:
        await site.wait(lambda name=name: site.is_ready(name))


async def test_acknowledged_leaving_survives_restart_of_all_hosts(tmp_path):
    async with Site.open(tmp_path) as site:
        await start_all(site)
        leaving = await site.upstream("u2", "plain", 10, SignalingUpstream)
        await send_requests(site, 2.0)
        assert leaving.request_times
        stopped = ("control-2", "control-3")
        for name in stopped:
            site.daemons[name].stop(signal.SIGSTOP)
        leaving.state = "draining"
        await send_requests(site, 4.0)
        assert "draining" not in leaving.acknowledged
        for name in stopped:
            site.daemons[name].stop(signal.SIGCONT)

        async def is_acknowledged() -> bool:
            return "draining" in leaving.acknowledged

        await site.wait(is_acknowledged)
        leaving.state = ""
        begin = trio.current_time() + NOTICE_SECONDS
        await send_requests(site, NOTICE_SECONDS + 1.0)
        await restart(site, list(site.daemons))
        statuses = await send_requests(site, 2.0)
        assert 200 in statuses
        assert leaving.requests_since(begin) == 0


class RefusingUpstream(StandInUpstream):
    """An upstream that refuses all requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Times and attempt ids of the requests.
        self.arrivals: list[tuple[float, bytes]] = []

    async def handle(self, exchange: Exchange) -> None:
        """Refuse one request as not executed."""
        attempt = exchange.head.first(b"pepperstep-attempt-id")
        self.arrivals.append((trio.current_time(), attempt))
        refusal = (b"pepperstep-not-executed", b"1")
        headers = ((b"pepperstep-attempt-id", attempt), refusal)
        await exchange.answer(Answer(503, b"", headers))


async def test_restarted_entry_hosts_get_no_new_retry_allowance(tmp_path):
    async with Site.open(tmp_path) as site:
        first = await start_all(site)
        first.state = ""
        first.handle = RefusingUpstream(first.name, "plain", first.address).handle
        route = {"name": "once", "host": "a.example", "path_prefix": "/once/"}
        route |= {"timeout_ms": 9000, "service": "plain"}
        route |= {"kind": "safe", "max_attempts": 6}
        await site.operate(b"POST", "/-/Config.Replace", table(8, routes=[route]))
        upstreams = [
            await site.upstream(f"u{number}", "plain", number, RefusingUpstream)
            for number in range(10, 16)
        ]
        request_times: list[float] = []

        async def send_forever() -> None:
            while True:
                request_times.append(trio.current_time())
                attempt = (b"pepperstep-attempt-id", b"id-%d" % len(request_times))
                entry = ENTRY_HOSTS[len(request_times) % 2]
                await site.request(entry, "/once/1", KEY, attempt, body=b"chart")
                await trio.sleep(0.1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_forever)
            await trio.sleep(WINDOW_SECONDS / 2)
            for _ in range(4):
                await restart(site, list(ENTRY_HOSTS))
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        retries = _retry_times([each for up in upstreams for each in up.arrivals])
        assert retries
        RETRY_RULE.check(request_times, retries)


def _retry_times(arrivals: list[tuple[float, bytes]]) -> list[float]:
    """Return the times of arrivals beyond the first of each request."""
    counts: Counter[bytes] = Counter()
    retries = []
    for time, attempt in sorted(arrivals):
        counts[attempt] += 1
        if counts[attempt] > 1:
            retries.append(time)
    return retries
