"""Entry hosts whose upstreams are reclaimed, lost or crashed."""

import random
from collections import Counter

import trio

from pepperstep.entities import Outcome, Request
from pepperstep.fakes import FakeEngine, FakePeers, FakeTimers, answer_of
from pepperstep.observability.recorder import NullRecorder, RecomputeCause
from pepperstep.requests.mover import MoveSettings, TerminationNotice
from pepperstep.requests.recovery import Recovery
from tests.requests.entry_hosts import Hosts

# Tokens of a prompt of the tests' usual length.
PROMPT = "Compare the benefits of annuity {number}. " * 60


class CountingRecorder(NullRecorder):
    """Recorder that adds up what was computed again."""

    def __init__(self) -> None:
        self.recomputed: Counter[RecomputeCause] = Counter()

    def record_recomputed(self, cause: RecomputeCause, tokens: int) -> None:
        """Add tokens."""
        self.recomputed[cause] += tokens


class MovingHosts(Hosts):
    """Hosts with the parts that move requests and guard against crashes."""

    def __init__(
        self,
        count: int = 3,
        engines: int = 6,
        settings: MoveSettings | None = None,
        is_guarded: bool = True,
    ):
        super().__init__(count, engines)
        self.settings = settings
        self.is_guarded = is_guarded
        self.recorder = CountingRecorder()
        self.recoveries: dict[str, Recovery] = {}

    def extend(self, name: str, incarnation: int, peers: FakePeers, timers: FakeTimers):
        """Return a view without leaving upstreams, and the parts for recovery."""
        recovery = self.recoveries[name] = Recovery.from_ports(
            name,
            incarnation,
            peers,
            timers,
            self.directory,
            self.upstreams,
            random.Random(incarnation),
            view=self.upstreams,
            settings=self.settings,
            is_guarded=self.is_guarded,
        )
        return recovery.moves, {
            "is_single": len(self.directory.hosts) == 1,
            "recorder": self.recorder,
            "recovery": recovery,
        }

    def wall(self) -> float:
        """Return the Unix time."""
        return next(iter(self.all.values())).timers.wall()

    def engine(self, name: str):
        """Return an engine by name."""
        return self.upstreams.all[name]

    def end(self, name: str) -> None:
        """End an upstream without notice."""
        upstream = self.upstreams.all[name]
        if isinstance(upstream, FakeEngine):
            upstream.die()
        upstream.is_alive = False

    def poison(self, text: str) -> None:
        """Let prompts with this text end every engine that runs them."""
        for engine in self.upstreams.engines:
            engine.poison = text

    @property
    def dead(self) -> list[str]:
        """Names of the engines that have ended."""
        return [e.name for e in self.upstreams.engines if not e.is_alive]

    def reclaim(self, names: list[str], seconds: float, at_host: str = "entry-0"):
        """Give notice of some engines' hosts, which end in `seconds`."""
        at = self.all[at_host].timers.wall() + seconds
        notices = [
            TerminationNotice(f"n-{name}", at, host=f"host-of-{name}") for name in names
        ]
        self.recoveries[at_host].moves.reclaim(notices)
        for name in names:
            self._nursery.start_soon(self._end, name, seconds)
        return notices

    async def _end(self, name: str, seconds: float) -> None:
        await trio.sleep(seconds)
        self.engine(name).die()

    async def submit(self, request: Request, host: str = "entry-0"):
        """Submit a request and return its run."""
        return await self.all[host].service.submit(request)

    async def read_all(
        self, requests: dict[str, Request]
    ) -> dict[str, tuple[list[str], Outcome]]:
        """Read the answers of requests, by id, at the given hosts."""
        answers = {}

        async def read(host: str, request: Request) -> None:
            answers[request.id] = await self.read(host, request.id)

        async with trio.open_nursery() as nursery:
            for request in requests.values():
                host = request.id.partition(".")[0]
                host = host if host in self.all else next(iter(self.all))
                nursery.start_soon(read, host, request)
        return answers

    def check_whole(self, requests, answers) -> None:
        """Assert that all answers are whole and their requests' own."""
        for request in requests.values():
            tokens, outcome = answers[request.id]
            assert outcome.is_answered, outcome
            assert tokens == answer_of(request)
