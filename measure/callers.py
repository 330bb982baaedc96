"""Callers that send a request, read its answer to the end and check it."""

import random
from collections.abc import Callable

import trio

from measure.accounts import Sample
from pepperstep.entities import Outcome, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import answer_of
from pepperstep.fakes.hosts import FakeHosts

__all__ = ["Caller"]


class Caller:
    """Sends one request and notes how it ended.

    `runs_of` tells how often a plain service ran a call.
    """

    def __init__(
        self,
        hosts: FakeHosts,
        request: Request,
        sample: Sample,
        rng: random.Random,
        runs_of: Callable[[Request], int],
    ):
        self._hosts = hosts
        self._rng = rng
        self._runs_of = runs_of
        self._request = request
        self._sample = sample
        self._tokens: list[str] = []
        self._last_at = 0.0
        self._host = ""

    async def submit(self, host: str) -> None:
        """Send the request."""
        self._host = host
        node = self._hosts.hosts[host].node
        await node.requests.submit(self._request)
        self._sample.is_accepted = True

    async def read_all(self) -> None:
        """Read to the end, at another host if the first one says so."""
        while True:
            try:
                await self._read()
            except Failure as failure:
                is_late = trio.current_time() > self._sample.deadline
                if failure.code is not Code.NOT_READY or is_late:
                    raise
                hosts = [n for n in self._hosts.hosts if n != self._host]
                self._host = self._rng.choice(hosts)
            else:
                return

    def note_failure(self, code: Code, execution: Execution) -> None:
        """Note a request that wasn't answered, and check what that said."""
        sample = self._sample
        sample.ended_at = trio.current_time()
        sample.code = str(code)
        is_denied = execution is Execution.NOT_RUN
        has_run = self._runs_of(self._request) or self._tokens
        sample.is_wrong |= bool(is_denied and has_run)
        sample.is_wrong |= not self._is_right(is_whole=False)

    async def _read(self) -> None:
        node = self._hosts.hosts[self._host].node
        request = self._request
        parts = node.requests.read(request.id, request.workspace, len(self._tokens))
        try:
            async for part in parts:
                self._note_tokens(part.tokens)
                if part.outcome is not None:
                    self._note_outcome(part.outcome)
                    return
        finally:
            await parts.aclose()

    def _note_tokens(self, tokens: list[str]) -> None:
        now = trio.current_time()
        sample = self._sample
        for _ in tokens:
            if sample.first_token is None:
                sample.first_token = now - sample.asked_at
            else:
                sample.gaps.append(now - self._last_at)
            self._last_at = now
        self._tokens += tokens

    def _note_outcome(self, outcome: Outcome) -> None:
        if not outcome.is_answered:
            self.note_failure(outcome.code, outcome.execution)
            return
        sample = self._sample
        sample.ended_at = trio.current_time()
        sample.is_answered = True
        sample.is_wrong |= not self._is_right(is_whole=True)
        if self._request.kind is RequestKind.SERVICE:
            sample.is_wrong |= outcome.service.body != b"done " + self._request.body

    def _is_right(self, is_whole: bool) -> bool:
        if self._request.kind is RequestKind.SERVICE:
            return True
        right = answer_of(self._request)
        return self._tokens == (right if is_whole else right[: len(self._tokens)])
