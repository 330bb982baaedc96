"""What binds all hosts holds through restarts, by real daemons on loopback."""

import signal
from collections import Counter

import trio

from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Site, StandInUpstream
from tests.retry_rule import RetryRule
from tests.wire.test_signals import SpeakingUpstream, call
from tests.wire.test_wire import KEY, SEEDS, open_all, table

ENTRIES = ("entry-4", "entry-5")
# Time after an acknowledgement in which a request may still follow, in seconds.
NOTICE = 2.0
WINDOW = 10.0
RULE = RetryRule(ratio=0.2, allowance=50.0, window=WINDOW)


async def restart(site: Site, names: list[str]) -> None:
    """Kill daemons at once, start them again, and wait for the entry hosts."""
    for name in names:
        site.daemons[name].stop(signal.SIGKILL)
    for name in names:
        site.daemons[name].process.wait()
        number = int(name.rpartition("-")[2])
        site.start(name, number, is_first=False, seeds=SEEDS)
    for name in ENTRIES:
        await site.wait(lambda name=name: site.is_ready(name))


async def test_leaving_that_was_acknowledged_outlives_a_restart_of_all(tmp_path):
    async with Site.open(tmp_path) as site:
        await open_all(site)
        leaving = await site.upstream("u2", "plain", 10, SpeakingUpstream)
        await call(site, 2.0)
        assert leaving.times
        stopped = ("control-2", "control-3")
        for name in stopped:
            site.daemons[name].stop(signal.SIGSTOP)
        leaving.state = "draining"
        await call(site, 4.0)
        assert "draining" not in leaving.acknowledged
        for name in stopped:
            site.daemons[name].stop(signal.SIGCONT)

        async def is_acknowledged() -> bool:
            return "draining" in leaving.acknowledged

        await site.wait(is_acknowledged)
        leaving.state = ""
        begin = trio.current_time() + NOTICE
        await call(site, NOTICE + 1.0)
        await restart(site, list(site.daemons))
        statuses = await call(site, 2.0)
        assert 200 in statuses
        assert leaving.since(begin) == 0


class RefusingUpstream(StandInUpstream):
    """An upstream that turns away all requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Times and ids of the requests.
        self.arrivals: list[tuple[float, bytes]] = []

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        attempt = exchange.head.first(b"pepperstep-attempt-id")
        self.arrivals.append((trio.current_time(), attempt))
        refusal = (b"pepperstep-not-executed", b"1")
        headers = ((b"pepperstep-attempt-id", attempt), refusal)
        await exchange.answer(Answer(503, b"", headers))


async def test_entry_hosts_that_restart_send_no_allowance_twice(tmp_path):
    async with Site.open(tmp_path) as site:
        first = await open_all(site)
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
        asked: list[float] = []

        async def call_forever() -> None:
            while True:
                asked.append(trio.current_time())
                attempt = (b"pepperstep-attempt-id", b"id-%d" % len(asked))
                entry = ENTRIES[len(asked) % 2]
                await site.request(entry, "/once/1", KEY, attempt, body=b"chart")
                await trio.sleep(0.1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_forever)
            await trio.sleep(WINDOW / 2)
            for _ in range(4):
                await restart(site, list(ENTRIES))
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        repeats = _repeats([each for up in upstreams for each in up.arrivals])
        assert repeats
        RULE.check(asked, repeats)


def _repeats(arrivals: list[tuple[float, bytes]]) -> list[float]:
    """Return the times of arrivals beyond the first of each request."""
    counts: Counter[bytes] = Counter()
    repeats = []
    for time, attempt in sorted(arrivals):
        counts[attempt] += 1
        if counts[attempt] > 1:
            repeats.append(time)
    return repeats
