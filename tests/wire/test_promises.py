"""A caller of real daemons isn't promised "not run" for a request that ran.

An upstream that has run a request may answer with a status that callers take for this
promise. They would send such a request again, and it would run twice.
"""

import itertools
from collections import Counter
from pathlib import Path

import pytest

import standins
from pepperstep.ports.exchange import Answer, Exchange
from standins.platform_site import Received, Site, StandInUpstream
from tests.wire.test_restarts import ENTRY_HOSTS
from tests.wire.test_wire import KEY, start_all, table

DAEMON = Path(standins.__file__).parent / "cut_off_daemon.py"
ID = b"pepperstep-attempt-id"
SEAL = b"pepperstep-replica-seal"
RETRY_AFTER = (b"retry-after", b"0.2")
ANSWERS = [(status, ()) for status in (503, 429, 408)]
ANSWERS += [(status, (RETRY_AFTER,)) for status in (503, 429)]
RUN_ONCE = ("/once/1", "/stream/1")
REPEATABLE = ("/safe/1", "/resumable/1")


class FailingUpstream(StandInUpstream):
    """An upstream that runs each request and answers with a settable status."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.status = 503
        self.headers: tuple[tuple[bytes, bytes], ...] = ()
        # Runs by the request's attempt id.
        self.runs: Counter[bytes] = Counter()

    async def handle(self, exchange: Exchange) -> None:
        """Run one request and answer without stating that it hasn't run."""
        attempt = exchange.head.first(ID)
        self.runs[attempt] += 1
        own = ((ID, attempt), (SEAL, self.name.encode()))
        await exchange.answer(Answer(self.status, b"busy", (*own, *self.headers)))


class FailingSite:
    """A site with an upstream that fails each request after it has run."""

    def __init__(self, site: Site, upstream: FailingUpstream):
        self.upstream = upstream
        self._site = site
        self._numbers = itertools.count()

    @classmethod
    async def start(cls, site: Site) -> "FailingSite":
        """Start the hosts and the upstream, with a route of each kind."""
        await start_all(site)
        base = {"host": "a.example", "timeout_ms": 9000, "service": "failing"}
        resumable = base | {"kind": "stream", "stream_resume": True}
        routes = [
            base | {"name": "once", "path_prefix": "/once/", "kind": "unsafe"},
            base | {"name": "stream", "path_prefix": "/stream/", "kind": "stream"},
            base | {"name": "safe", "path_prefix": "/safe/", "kind": "safe"},
            resumable | {"name": "resumable", "path_prefix": "/resumable/"},
        ]
        services = [{"name": "plain"}, {"name": "failing"}]
        document = table(8, routes=routes, services=services)
        await site.operate(b"POST", "/-/Config.Replace", document)
        upstream = await site.upstream("u2", "failing", 10, FailingUpstream)
        return cls(site, upstream)

    async def ask(self, entry: str, path: str) -> Received:
        """Return the answer to the first request that runs.

        An entry host may refuse others, as it doesn't know the upstream yet or has been
        told by it to wait.
        """
        answers: list[Received] = []

        async def has_run() -> bool:
            attempt = b"id-%d" % next(self._numbers)
            answer = await self._site.request(entry, path, KEY, (ID, attempt))
            assert self.upstream.runs[attempt] <= 1
            answers.append(answer)
            return self.upstream.runs[attempt] == 1

        await self._site.wait(has_run)
        return answers[-1]

    def cut_off(self, entry: str) -> None:
        """Let an entry host open no more connections to the upstream."""
        self._site.daemons[entry].log.with_suffix(".cut").touch()

    def has_forwarded(self, entry: str) -> bool:
        """Whether an entry host has forwarded a request to the other one."""
        text = self._site.daemons[entry].log.read_text()
        return '"event":"request_forwarded"' in text


def expected_answer(status: int, path: str) -> tuple[int, bool]:
    """Return a caller's status, and whether it has a seal."""
    # An upstream's seal stands for the status that it gave.
    return (502, False) if path in RUN_ONCE else (status, True)


async def collect_answers(failing: FailingSite, entry: str) -> dict:
    """Return what callers get, by the upstream's answer and the path."""
    received = {}
    for status, headers in ANSWERS:
        failing.upstream.status, failing.upstream.headers = status, headers
        for path in (*RUN_ONCE, *REPEATABLE):
            answer = await failing.ask(entry, path)
            received[status, headers, path] = (answer.status, SEAL in answer.headers)
    return received


@pytest.mark.parametrize("is_cut_off", [False, True])
async def test_request_that_ran_gets_no_promise(tmp_path, is_cut_off):
    """Guards against an upstream's status that a host passes on as its own promise.

    A host that is cut off from upstreams forwards the request to the other host.
    """
    entry, _ = ENTRY_HOSTS
    async with Site.open(tmp_path, daemon=DAEMON) as site:
        failing = await FailingSite.start(site)
        if is_cut_off:
            failing.cut_off(entry)
        received = await collect_answers(failing, entry)
        assert received == {
            (status, headers, path): expected_answer(status, path)
            for status, headers in ANSWERS
            for path in (*RUN_ONCE, *REPEATABLE)
        }
        assert failing.has_forwarded(entry) or not is_cut_off
