"""Generated schedules of faults; callers check the answers they get.

Repeatable requests must get their complete answer, and non-repeatable requests must run
at most once, whatever faults happen at whatever moment.
"""

import contextlib
import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial

import pytest
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings, strategies as st

from pepperstep.entities import Outcome, Request
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import FakeService, upstreams as fake_upstreams
from tests.requests.entry_hosts import HostCrashed, Hosts

HOSTS = 4
# A caller without new tokens for this time continues at another host.
READ_TIMEOUT_SECONDS = 6.0
HOST_INDEXES = st.integers(0, HOSTS - 1)
FAULT_KINDS = ("crash", "restart", "pause", "suspect", "cut", "isolate", "leave")
FAULT_KINDS += ("trouble", "engine", "quote", "quorum", "lost_reply")
# A fault, the hosts it concerns, its duration, and the time until the next fault; times
# are in tenths of a second.
STEPS = st.tuples(
    st.sampled_from(FAULT_KINDS),
    HOST_INDEXES,
    HOST_INDEXES,
    st.integers(0, 40),
    st.integers(0, 12),
)


# Schedules that once failed, each with the fault it revealed.
REGRESSIONS = [
    # A request was added to a link that its backup host had just taken over.
    [("suspect", 1, 2, 15, 7), ("crash", 0, 0, 20, 8), ("isolate", 0, 3, 23, 9)],
    # A request was added to a link that its backup host had just taken over, and its
    # next link went to the same backup host.
    [
        ("quote", 0, 2, 20, 9),
        ("quote", 1, 1, 26, 11),
        ("pause", 0, 0, 40, 3),
        ("isolate", 1, 3, 12, 2),
        ("suspect", 3, 3, 33, 1),
        ("trouble", 2, 1, 0, 1),
        ("trouble", 0, 2, 14, 12),
        ("suspect", 1, 1, 10, 4),
        ("suspect", 0, 3, 24, 7),
    ],
    # NOT_RUN was reported while the new owner ran the request for a retry.
    [
        ("pause", 1, 3, 18, 2),
        ("suspect", 3, 3, 7, 8),
        ("engine", 1, 2, 26, 0),
        ("quorum", 0, 2, 14, 8),
        ("engine", 1, 3, 26, 9),
        ("lost_reply", 1, 1, 18, 11),
        ("suspect", 2, 2, 19, 6),
        ("quorum", 3, 0, 23, 0),
        ("quorum", 1, 3, 0, 0),
    ],
    # The claim of an owner whose request was taken over stayed open.
    [
        ("trouble", 1, 3, 37, 12),
        ("lost_reply", 3, 3, 25, 2),
        ("pause", 2, 2, 16, 8),
        ("quorum", 0, 3, 32, 12),
        ("engine", 2, 1, 32, 12),
        ("suspect", 3, 2, 26, 7),
        ("engine", 2, 0, 7, 6),
        ("isolate", 0, 2, 25, 0),
        ("engine", 3, 3, 6, 1),
        ("restart", 2, 3, 32, 10),
        ("engine", 1, 3, 26, 6),
        ("cut", 0, 3, 34, 10),
    ],
    # A request was taken back by its first owner, which still had the earlier run.
    [
        ("cut", 3, 0, 4, 2),
        ("suspect", 1, 1, 17, 5),
        ("quorum", 0, 3, 13, 11),
        ("pause", 3, 1, 10, 10),
        ("restart", 0, 0, 10, 6),
        ("leave", 0, 2, 30, 2),
        ("quote", 0, 3, 12, 8),
        ("lost_reply", 0, 1, 32, 3),
    ],
]


@dataclass
class FaultInjector:
    """Injects faults; each one ends after its duration."""

    hosts: Hosts
    nursery: trio.Nursery

    async def inject(self, kind, host_index, other, duration, gap) -> None:
        names = list(self.hosts.directory.hosts)
        step = getattr(self, f"_{kind}")
        self.nursery.start_soon(step, names[host_index], names[other], duration / 10)
        await trio.sleep(gap / 10)

    async def _crash(self, name, other, seconds) -> None:
        if name in self.hosts.all and len(self.hosts.all) > 2:
            self.hosts.crash(name)
            await trio.sleep(seconds / 4)
            self.hosts.declare_gone(name)
            await trio.sleep(seconds)
            await self.hosts.start_host(name)

    async def _restart(self, name, other, seconds) -> None:
        """Restart a host before the others notice."""
        if name in self.hosts.all and len(self.hosts.all) > 2:
            self.hosts.fail_host(name)
            await self.hosts.start_host(name)

    async def _pause(self, name, other, seconds) -> None:
        if name in self.hosts.all:
            timers = self.hosts.all[name].timers
            timers.pause()
            await trio.sleep(seconds)
            timers.resume()

    async def _suspect(self, name, other, seconds) -> None:
        incarnation = self.hosts.directory.incarnations[name]
        self.hosts.directory.gone[name] = incarnation
        await trio.sleep(seconds)
        if (
            name in self.hosts.all
            and self.hosts.directory.incarnations[name] == incarnation
        ):
            self.hosts.directory.gone[name] = incarnation - 1

    async def _cut(self, name, other, seconds) -> None:
        self.hosts.network.cut(name, other)
        await trio.sleep(seconds)
        self.hosts.network._cuts.discard((name, other))

    async def _isolate(self, name, other, seconds) -> None:
        self.hosts.network.isolate(name)
        self.hosts.log.cut_hosts.add(name)
        await trio.sleep(seconds)
        self.hosts.network.heal()
        self.hosts.log.cut_hosts.discard(name)

    async def _leave(self, name, other, seconds) -> None:
        if name not in self.hosts.all or len(self.hosts.all) <= 2:
            return
        incarnation = self.hosts.directory.incarnations[name]
        self.hosts.directory.leaving.add(name)
        with trio.move_on_after(seconds):
            with contextlib.suppress(HostCrashed):
                await self.hosts.call(name, lambda service: service.hand_over())
        if (
            self.hosts.directory.incarnations[name] == incarnation
            and name in self.hosts.all
        ):
            self.hosts.fail_host(name)
            await self.hosts.start_host(name)
        self.hosts.directory.leaving.discard(name)

    async def _trouble(self, name, other, seconds) -> None:
        network = self.hosts.network
        network.loss, network.duplication, network.max_delay = 0.1, 0.3, 0.2
        await trio.sleep(seconds)
        network.loss, network.duplication, network.max_delay = 0.0, 0.0, 0.0005

    async def _engine(self, name, other, seconds) -> None:
        engine = random.Random(seconds).choice(self.hosts.upstreams.engines)
        engine.die()
        await trio.sleep(seconds)
        engine.start_again()

    async def _quote(self, name, other, seconds) -> None:
        service = self.hosts.upstreams.all["quote-0"]
        service.dies = ("before", "during", "after")[int(seconds * 10) % 3]
        await trio.sleep(seconds)
        service.dies, service.is_alive = "", True

    async def _quorum(self, name, other, seconds) -> None:
        self.hosts.log.has_quorum = False
        await trio.sleep(seconds)
        self.hosts.log.has_quorum = True

    async def _lost_reply(self, name, other, seconds) -> None:
        self.hosts.log.lost_replies += 1


class CountingService(FakeService):
    """Plain service that also counts executions by request id."""

    runs_by_id: Counter[str] = Counter()

    async def call(self, request: Request):
        """Execute the call."""
        before = self.runs[request.body]
        try:
            return await super().call(request)
        finally:
            self.runs_by_id[request.id] += self.runs[request.body] - before


class Caller:
    """Client that retries a request until it has a final outcome."""

    def __init__(self, hosts: Hosts, request: Request, number: int):
        self.hosts = hosts
        self.request = request
        self.number = number
        self.rng = random.Random(number)
        self.sent_id = ""
        self.request_id = ""
        self.tokens: list[str] = []
        self.outcome: Outcome | None = None

    async def run(self) -> None:
        """Return once there is an answer, or no other outcome can follow."""
        for number in itertools.count():
            name = self.rng.choice(sorted(self.hosts.all))
            try:
                with trio.move_on_after(READ_TIMEOUT_SECONDS):
                    await self._try(name, number)
            except HostCrashed:
                continue
            except Failure as failure:
                self._handle_outcome(
                    Outcome(code=failure.code, execution=failure.execution), number
                )
            if self.outcome is not None:
                return
            await trio.sleep(self.rng.random())

    async def _try(self, name: str, number: int) -> None:
        if not self.request_id:
            self.sent_id = f"{name}.{self.number}-{number}"
            request = replace(self.request, id=self.sent_id)
            submitted = await self.hosts.call(name, lambda s: s.submit(request))
            self.request_id = submitted.id
        read = partial(
            self.hosts.read_into,
            self.tokens,
            request_id=self.request_id,
            position=len(self.tokens),
        )
        outcome = await self.hosts.call(name, lambda service: read(service))
        self._handle_outcome(outcome, number)

    def _handle_outcome(self, outcome: Outcome, number: int) -> None:
        is_final = outcome.is_answered or (
            outcome.execution is Execution.MAY_HAVE_RUN
            and not self.request.is_repeatable
            and outcome.code is not Code.PEER_UNREACHABLE
        )
        if is_final:
            self.outcome = outcome
            return
        if outcome.execution is Execution.NOT_RUN and not self.request.is_repeatable:
            reported_id = self.request_id or self.sent_id
            assert CountingService.runs_by_id[reported_id] == 0, outcome
        if self.request_id and outcome.code is Code.PEER_UNREACHABLE:
            return
        # Lost, refused or failed: send a new request with the same key.
        self.request_id = ""
        self.tokens.clear()


async def run_schedule(steps) -> None:
    """Inject faults while callers send requests, then let all faults end."""
    CountingService.runs_by_id = Counter()
    async with Hosts.start(count=HOSTS) as hosts:
        for name in ("quote-0", "quote-1"):
            hosts.upstreams.add(CountingService(name, "quote-api", "", 0.3))
        chats = [
            hosts.request(number=n, idempotency_key=f"chat-{n}", max_tokens=250)
            for n in range(4)
        ]
        quotes = [hosts.quote(number=10 + n) for n in range(4)]
        callers = [
            Caller(hosts, request, number)
            for number, request in enumerate((chats + quotes) * 2)
        ]
        with trio.fail_after(200):
            async with trio.open_nursery() as nursery:
                for number, caller in enumerate(callers):
                    nursery.start_soon(_run_after, caller, 0.6 * (number // 2))
                faults = FaultInjector(hosts, nursery)
                for step in steps:
                    await faults.inject(*step)
        assert_promises(hosts, callers)


async def _run_after(caller: Caller, seconds: float) -> None:
    await trio.sleep(seconds)
    await caller.run()


def assert_promises(hosts: Hosts, callers: list[Caller]) -> None:
    """Assert that each caller has its complete answer and nothing ran twice."""
    for caller in callers:
        request = caller.request
        if request.is_repeatable:
            assert caller.outcome.is_answered
            positions = [int(token.partition(":")[0]) for token in caller.tokens]
            assert positions == list(range(request.max_tokens))
            continue
        runs = hosts.runs_of(request)
        assert runs <= 1
        if caller.outcome.is_answered:
            assert runs == 1
            assert caller.outcome.service.body == b"done " + request.body


@pytest.fixture
def unlike_tokens(monkeypatch):
    """Let each attempt generate different tokens at the same position."""
    numbers = itertools.count()
    monkeypatch.setattr(
        fake_upstreams,
        "answer_token",
        lambda key, seed, prompt, position: f"{position}:{next(numbers)}",
    )


@settings(
    max_examples=20,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(STEPS, min_size=2, max_size=12))
def test_any_schedule(unlike_tokens, steps):
    trio.run(run_schedule, steps, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("steps", [[], *REGRESSIONS], ids=range(len(REGRESSIONS) + 1))
def test_regressions(unlike_tokens, steps):
    trio.run(run_schedule, steps, clock=trio.testing.MockClock(autojump_threshold=0))
