"""Load generator for both partners that checks each answer.

Streams are requested through the `openai` client, quotes over plain HTTP.
"""

import json
import random
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import openai

from demo.documents import CALLER_KEYS
from standins.text import answer_tokens

__all__ = ["Load", "Results"]

_PAUSE_SECONDS = 0.2
_TIMEOUT_SECONDS = 60.0


@dataclass
class Results:
    """Outcomes of the requests."""

    counts: Counter = field(default_factory=Counter)
    # Time to first token of each stream, in seconds.
    first_tokens: list[float] = field(default_factory=list)
    # Idempotency keys of the answered quotes.
    quotes: set[str] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, name: str, error: str = "") -> None:
        """Count an outcome and keep its error, if any."""
        with self._lock:
            self.counts[name] += 1
            if error:
                self.errors.append(error)


@dataclass(frozen=True)
class _Stream:
    """Type of streamed request, and the number of workers that send it."""

    model: str
    engine_model: str
    version: str
    workspace: str
    min_tokens: int
    max_tokens: int
    prompt: str
    workers: int


_STREAMS = (
    _Stream(
        "zaseki-model", "zaseki-7b", "1", "planners", 100, 300, "Draft the hall.", 12
    ),
    _Stream(
        "zaseki-model", "zaseki-7b", "1", "venue-desks", 10, 40, "Move a table.", 4
    ),
    _Stream(
        "pepperstep-pool", "annuity-13b", "2", "reviews", 400, 700, "Review this.", 8
    ),
    _Stream(
        "pepperstep-pool", "annuity-13b", "2", "agents", 10, 40, "Explain this.", 4
    ),
)
_QUOTE_WORKERS = 2


class Load:
    """Worker threads that send requests until `stop` is called."""

    def __init__(self, urls: Callable[[], dict[str, list[str]]], seed: int = 7):
        self.results = Results()
        self._urls = urls
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_streams, args=(kind, number))
            for kind in _STREAMS
            for number in range(kind.workers)
        ]
        self._threads += [
            threading.Thread(target=self._run_quotes, args=(number,))
            for number in range(_QUOTE_WORKERS)
        ]

    def start(self) -> None:
        """Start the workers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the workers and wait for their last requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run_streams(self, kind: _Stream, number: int) -> None:
        rng = random.Random(f"{kind.workspace}{number}")
        while not self._stop.is_set():
            self._stream(kind, rng)
            time.sleep(_PAUSE_SECONDS)

    def _stream(self, kind: _Stream, rng: random.Random) -> None:
        url = self._choose(kind.model, rng)
        client = openai.OpenAI(
            base_url=f"{url}/v1",
            api_key=CALLER_KEYS[kind.workspace],
            max_retries=0,
            timeout=_TIMEOUT_SECONDS,
        )
        seed = rng.randrange(1_000_000)
        count = rng.randint(kind.min_tokens, kind.max_tokens)
        prompt = f"{kind.prompt} Case {seed}."
        with client:
            try:
                text = self._read(client, kind, prompt, seed, count)
            except openai.APIStatusError as error:
                self.results.record("refused", str(error))
                return
            except openai.APIError as error:
                self.results.record("accepted")
                self.results.record("lost", f"{url}: {error!r}")
                return
        expected_tokens = answer_tokens(
            kind.engine_model, "", kind.version, seed, f"user: {prompt}", count
        )
        self.results.record("accepted")
        is_correct = text == "".join(expected_tokens)
        self.results.record(
            "whole" if is_correct else "wrong", "" if is_correct else prompt
        )

    def _read(self, client, kind: _Stream, prompt: str, seed: int, count: int) -> str:
        started = time.monotonic()
        stream = client.chat.completions.create(
            model=kind.model,
            messages=[{"role": "user", "content": prompt}],
            max_tokens=count,
            seed=seed,
            stream=True,
        )
        parts = []
        for chunk in stream:
            text = chunk.choices[0].delta.content if chunk.choices else None
            if text and not parts:
                self.results.first_tokens.append(time.monotonic() - started)
            parts.append(text or "")
        return "".join(parts)

    def _run_quotes(self, number: int) -> None:
        rng = random.Random(number)
        while not self._stop.is_set():
            self._quote(f"quote-{number}-{rng.randrange(1_000_000)}", rng)
            time.sleep(_PAUSE_SECONDS)

    def _quote(self, key: str, rng: random.Random) -> None:
        """Request a quote, and repeat it with the same key at a random host.

        The repeat must get the same answer or be refused.
        """
        first = self._call(self._choose("pepperstep-pool", rng), key)
        if first is None:
            return
        self.results.record("accepted")
        self.results.quotes.add(key)
        second = self._call(self._choose("pepperstep-pool", rng), key)
        is_correct = second in (first, None)
        self.results.record(
            "whole" if is_correct else "wrong", "" if is_correct else key
        )

    def _call(self, url: str, key: str) -> bytes | None:
        request = urllib.request.Request(
            f"{url}/services/quote-api/quotes",
            data=json.dumps({"quote": key}).encode(),
            headers={
                "authorization": f"Bearer {CALLER_KEYS['agents']}",
                "content-type": "application/json",
                "idempotency-key": key,
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=_TIMEOUT_SECONDS) as answer:
                return answer.read()
        except urllib.error.HTTPError as error:
            self.results.record("refused", f"{error.code}: {error.read()[:200]!r}")
            return None

    def _choose(self, model: str, rng: random.Random) -> str:
        return rng.choice(self._urls()[model])
