"""What upstreams say in their answers, through real daemons on loopback."""

from functools import partial

import trio

from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Site, StandInUpstream
from tests.wire.test_wire import KEY, open_all, table

CALLERS = 10
PAUSE_SECONDS = 0.05
LIMIT = 2.0
# Time from which a limit binds, and windows in which it's counted, in seconds.
SETTLING = 3.0
WINDOW = 4.0
# Time for which a refusal wants nothing, and until the host that got it obeys.
RETRY_AFTER = 3.0
NOTICE = 0.5


class SpeakingUpstream(StandInUpstream):
    """An upstream whose answers say what it's set to."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.says: tuple[tuple[bytes, bytes], ...] = ()
        self.refuses = False
        self.times: list[float] = []

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.times.append(trio.current_time())
        headers = (
            (b"pepperstep-attempt-id", exchange.head.first(b"pepperstep-attempt-id")),
            (b"pepperstep-replica-seal", self.name.encode()),
            *self.says,
        )
        if self.refuses:
            refusal = ((b"pepperstep-not-executed", b"1"), (b"retry-after", b"3"))
            await exchange.answer(Answer(503, b"", (*headers, *refusal)))
        else:
            await exchange.answer(Answer(200, exchange.body, headers))

    def since(self, begin: float) -> int:
        """Return the requests since a time."""
        return sum(each >= begin for each in self.times)


async def _is_known(site: Site, entry: str, path: str) -> bool:
    """Whether an entry host has a route for a path."""
    received = await site.request(entry, path, KEY, body=b"chart")
    return received is not None and received.status == 200


async def call(site: Site, seconds: float) -> list[int]:
    """Send requests to both entry hosts for so long, and return what callers got."""
    statuses: list[int] = []

    async def call_forever(caller: int) -> None:
        while True:
            entry = f"entry-{4 + caller % 2}"
            received = await site.request(entry, "/once/1", KEY, body=b"chart")
            statuses.append(0 if received is None else received.status)
            await trio.sleep(PAUSE_SECONDS)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for caller in range(CALLERS):
                nursery.start_soon(call_forever, caller)
    return statuses


async def test_limit_holds_for_both_hosts(tmp_path):
    async with Site.open(tmp_path) as site:
        await open_all(site)
        limited = await site.upstream("u2", "plain", 10, SpeakingUpstream)
        limited.says = ((b"server-limit", b"%.1f" % LIMIT),)
        await call(site, 2.0)
        begin = trio.current_time()
        statuses = await call(site, SETTLING + 2 * WINDOW)
        times = [each for each in limited.times if each >= begin + SETTLING]
        assert times
        for first in times:
            count = sum(first <= each < first + WINDOW for each in times)
            assert count <= 1.5 * LIMIT * WINDOW + 5
        assert set(statuses) == {200}


async def test_upstream_that_leaves_by_its_answers_alone_gets_nothing(tmp_path):
    async with Site.open(tmp_path) as site:
        await open_all(site)
        leaving = await site.upstream("u2", "plain", 10, SpeakingUpstream)
        await call(site, 2.0)
        assert leaving.times
        leaving.says = ((b"server-leaving", b"1"),)
        await call(site, 2.0)
        begin = trio.current_time()
        statuses = await call(site, 3.0)
        assert leaving.since(begin) == 0
        assert set(statuses) == {200}


async def test_upstream_that_wants_nothing_for_a_while_gets_nothing(tmp_path):
    async with Site.open(tmp_path) as site:
        await open_all(site)
        await site.upstream("u3", "plain", 11)
        route = {"name": "once", "host": "a.example", "path_prefix": "/once/"}
        route |= {"timeout_ms": 9000, "service": "plain"}
        route |= {"kind": "safe", "max_attempts": 3}
        probe = route | {"name": "probe", "path_prefix": "/probe/"}
        routes = table(8, routes=[route, probe])
        await site.operate(b"POST", "/-/Config.Replace", routes)
        for entry in ("entry-4", "entry-5"):
            await site.wait(partial(_is_known, site, entry, "/probe/1"))
        refusing = await site.upstream("u2", "plain", 10, SpeakingUpstream)
        refusing.refuses = True
        statuses = await call(site, 8.0)
        assert refusing.times
        assert set(statuses) == {200}
        # Each of the two hosts may send two in the time, and one that begins it.
        for first in refusing.times:
            begin, end = first + NOTICE, first + RETRY_AFTER
            count = sum(begin <= each < end for each in refusing.times)
            assert count <= 2 * 3
