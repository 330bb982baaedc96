"""A model engine in virtual time: batches, reading in chunks, a cache of parts.

Each step gives every running request a token and reads a chunk of the prompt that
is next. So a prompt delays the tokens of all others, and waits behind the prompts
before it. Parts that were read stay until memory is needed for others, the least
recently used ones first.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pepperstep.ports.relaying import PromptPart

__all__ = ["EngineSpeed", "ModelEngine", "ModelRun", "Scheduler"]


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """What an engine takes, as the deployments' engines are described."""

    step_seconds: float = 0.00347
    step_seconds_per_run: float = 0.00016
    tokens_per_second: float = 36_100.0
    chunk_tokens: int = 2048
    first_seconds: float = 0.019
    memory_tokens: int = 352_000
    runs: int = 64


class Scheduler:
    """Calls functions at virtual times, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call `call` at a time in seconds."""
        self._number += 1
        heapq.heappush(self._due, (when, self._number, call))

    def run_until(self, end: float) -> None:
        """Call what is due until a time."""
        while self._due and self._due[0][0] <= end:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = end


@dataclass(slots=True)
class ModelRun:
    """One request at an engine."""

    parts: Sequence[PromptPart]
    answer_tokens: int
    # Called at the first token, and after the last one unless it's cancelled.
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    # Tokens to read, less than 0 before that is known.
    unread: int = -1
    made: int = 0
    # Time of the latest token, and the longest pause between two.
    last_at: float = 0.0
    longest_pause: float = 0.0
    is_cancelled: bool = False


@dataclass(slots=True)
class _Memory:
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    tokens: int = 0


class ModelEngine:
    """One engine; `send` begins a request and `cancel` ends it."""

    def __init__(self, scheduler: Scheduler, speed: EngineSpeed | None = None):
        self._scheduler = scheduler
        self._speed = speed or EngineSpeed()
        self._waiting: list[ModelRun] = []
        self._running: list[ModelRun] = []
        self._memory = _Memory()
        self._is_stepping = False
        self.read_tokens = 0
        self.busy_seconds = 0.0

    def send(self, run: ModelRun) -> None:
        """Take a request in."""
        run.unread = -1
        self._waiting.append(run)
        if not self._is_stepping:
            self._step()

    def cancel(self, run: ModelRun) -> None:
        """End a request's work."""
        run.is_cancelled = True

    def _step(self) -> None:
        self._drop_cancelled()
        if not self._waiting and not self._running:
            self._is_stepping = False
            return
        self._is_stepping = True
        reading = self._read_chunk()
        speed = self._speed
        seconds = speed.step_seconds + speed.step_seconds_per_run * len(self._running)
        seconds += reading / speed.tokens_per_second
        self.read_tokens += reading
        self.busy_seconds += seconds
        now = self._scheduler.now
        self._scheduler.at(now + seconds, self._end_step)

    def _read_chunk(self) -> int:
        """Return the tokens that the next step reads."""
        left = self._speed.chunk_tokens
        for run in self._waiting[: self._speed.runs - len(self._running)]:
            if run.unread < 0:
                run.unread = self._missing(run.parts)
            taken = min(left, run.unread)
            run.unread -= taken
            left -= taken
            if not left:
                break
        return self._speed.chunk_tokens - left

    def _end_step(self) -> None:
        now = self._scheduler.now
        for run in self._running:
            if now < run.last_at:
                continue
            run.longest_pause = max(run.longest_pause, now - run.last_at)
            run.last_at = now
            run.made += 1
        ended = [run for run in self._running if run.made >= run.answer_tokens]
        self._running = [run for run in self._running if run.made < run.answer_tokens]
        read = [run for run in self._waiting if run.unread == 0]
        self._waiting = [run for run in self._waiting if run.unread]
        for run in read:
            self._keep(run.parts)
            run.last_at = now + self._speed.first_seconds
            self._scheduler.at(run.last_at, run.on_first)
            self._running.append(run)
        for run in ended:
            run.on_end()
        self._step()

    def _drop_cancelled(self) -> None:
        self._waiting = [run for run in self._waiting if not run.is_cancelled]
        self._running = [run for run in self._running if not run.is_cancelled]

    def _missing(self, parts: Sequence[PromptPart]) -> int:
        total = sum(part.tokens for part in parts)
        for part in parts:
            if part.id not in self._memory.parts:
                break
            self._memory.parts.move_to_end(part.id)
            total -= part.tokens
        return max(1, total)

    def _keep(self, parts: Sequence[PromptPart]) -> None:
        memory = self._memory
        for part in parts:
            if part.id not in memory.parts:
                memory.tokens += part.tokens
            memory.parts[part.id] = part.tokens
            memory.parts.move_to_end(part.id)
        while memory.tokens > self._speed.memory_tokens:
            _, tokens = memory.parts.popitem(last=False)
            memory.tokens -= tokens
