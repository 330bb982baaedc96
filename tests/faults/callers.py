"""Callers that fail over to another host."""

from dataclasses import dataclass

import tomli_w
import trio

from pepperstep.configuration import BASE, Change, ChangeAnswer, ChangeStatus
from pepperstep.entities import Outcome, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import answer_of
from pepperstep.fakes.hosts import HostLost

# Time without data after which a caller fails over to another host.
_CALL_TIMEOUT_SECONDS = 4.0
_PAUSE_SECONDS = 0.2
_TOKENS = 60
# Codes of refusals after which a caller retries.
_RETRYABLE_CODES = (
    Code.NOT_READY,
    Code.NO_QUORUM,
    Code.NO_UPSTREAM,
    Code.OVERLOADED,
    Code.DRAINING,
    Code.PEER_UNREACHABLE,
    Code.RETRIES_EXHAUSTED,
    Code.CANCELLED,
    Code.FENCED,
)


@dataclass(frozen=True)
class Refusal:
    """A refusal as received by its caller."""

    request_id: str
    code: Code
    execution: Execution


class RequestCaller:
    """Sends one request and retries it under its key until it is answered."""

    def __init__(
        self,
        scenario,
        name: str,
        first_host: str,
        prompt: str = "",
        max_tokens: int = _TOKENS,
    ):
        self.scenario = scenario
        self.name = name
        # Idempotency key, which is also the fingerprint of the content.
        self.key = name
        self.first_host = first_host
        self.prompt = prompt or f"Seat the guests of {name}."
        self.max_tokens = max_tokens
        self.request: Request | None = None
        self.ids: set[str] = set()
        self.accepted: list[str] = []
        # Accepted ids that weren't replaced by the id of an earlier request.
        self._directly_accepted_ids: set[str] = set()
        self.tokens: list[str] = []
        self.parallel_tokens: list[str] = []
        self.outcome: Outcome | None = None
        self.parallel_outcome: Outcome | None = None
        self.refusals: list[Refusal] = []
        # Violations of the promises observed by this caller.
        self.violations: list[str] = []
        self._hosts = list(scenario.hosts.places)
        self._hosts.remove(first_host)
        self._hosts.insert(0, first_host)
        self._last_id = ""
        self.is_repeatable = not name.startswith("service")
        self._is_accepted = trio.Event()

    def has_attempt(self, attempt_id: str) -> bool:
        """Whether the attempt belongs to this caller's request."""
        return attempt_id.rsplit(".", 2)[0] in self.ids

    async def run(self) -> None:
        """Send the request until it is accepted, then read until its outcome."""
        while self.outcome is None:
            try:
                request_id = await self._call(self._submit)
                self.accepted.append(request_id)
                self._is_accepted.set()
                outcome = await self._read_to_end(request_id, self.tokens)
            except Failure as failure:
                self._handle_refusal(_outcome_of(failure))
            except (HostLost, trio.TooSlowError):
                pass
            else:
                self._handle_outcome(outcome, request_id)
            self._next_host()
            await trio.sleep(_PAUSE_SECONDS)
        self._is_accepted.set()

    async def read_in_parallel(self, host: str) -> None:
        """Read the same answer from the start at another host."""
        await self._is_accepted.wait()
        while self.accepted:
            reader = RequestCaller(self.scenario, self.name, host)
            reader.request, reader.ids = self.request, self.ids
            try:
                self.parallel_outcome = await reader._read_to_end(
                    self.accepted[-1], self.parallel_tokens
                )
            finally:
                self.violations += reader.violations
            if self.parallel_outcome.is_answered or self.outcome is not None:
                return
            await trio.sleep(_PAUSE_SECONDS)

    def _handle_outcome(self, outcome: Outcome, request_id: str) -> None:
        """Handle an outcome, which is final for an accepted request.

        A retry may get the id of an earlier request that was refused in the end.
        """
        if outcome.code is Code.UNKNOWN_REQUEST:
            self.violations.append(f"{self.name}: {outcome.text}")
        if outcome.is_answered:
            self.outcome = outcome
        elif request_id in self._directly_accepted_ids or self.tokens:
            self._record_refusal(outcome)
            self.outcome = outcome
        else:
            self._handle_refusal(outcome)

    def _handle_refusal(self, outcome: Outcome) -> None:
        """Retry if the refusal allows a safe retry, else store it as the outcome."""
        self._record_refusal(outcome)
        is_safe = self.is_repeatable or outcome.execution is Execution.NOT_RUN
        if outcome.code not in _RETRYABLE_CODES or not is_safe:
            self.outcome = outcome

    def _record_refusal(self, outcome: Outcome) -> None:
        self.refusals.append(Refusal(self._last_id, outcome.code, outcome.execution))

    async def _submit(self, node) -> str:
        if not node.configuration.revision:
            # Same answer as the public API gives.
            raise Failure(Code.NOT_READY, "No configuration.", retry_after=1.0)
        request = self._new_request()
        self._last_id = request.id
        submitted = await node.requests.submit(request)
        self._last_id = submitted.id
        if submitted.id == request.id:
            self._directly_accepted_ids.add(request.id)
        return submitted.id

    def _new_request(self) -> Request:
        changes = {"idempotency_key": self.key, "prompt": self.prompt}
        if not self.is_repeatable:
            changes |= {
                "kind": RequestKind.SERVICE,
                "target": "quote-api",
                "is_repeatable": False,
                "body": self.key.encode(),
            }
        number = 1000 * (1 + self.scenario.callers.index(self)) + len(self.ids)
        host = self._hosts[0]
        request = self.scenario.hosts.request(
            host,
            number,
            seed=7,
            max_tokens=self.max_tokens,
            fingerprint=self.key,
            **changes,
        )
        self.request = request
        self.ids.add(request.id)
        return request

    async def _read_to_end(self, request_id: str, tokens: list[str]) -> Outcome:
        """Read an answer to its end, failing over between hosts."""
        while True:
            try:
                return await self._call(
                    lambda node: self._read(node, request_id, tokens)
                )
            except Failure as failure:
                if failure.code is not Code.NOT_READY:
                    return _outcome_of(failure)
            except (HostLost, trio.TooSlowError):
                pass
            self._next_host()
            await trio.sleep(_PAUSE_SECONDS)

    async def _read(self, node, request_id: str, tokens: list[str]) -> Outcome:
        expected = answer_of(self.request)
        parts = node.requests.read(request_id, "planners", len(tokens))
        try:
            async for part in parts:
                if part.position != len(tokens):
                    self.violations.append(f"{self.name}: Part at {part.position}.")
                tokens += part.tokens
                if tokens != expected[: len(tokens)]:
                    self.violations.append(f"{self.name}: Wrong tokens.")
                if part.outcome is not None:
                    return part.outcome
                self._deadline.deadline = trio.current_time() + _CALL_TIMEOUT_SECONDS
        finally:
            await parts.aclose()
        raise AssertionError("The answer ended without an outcome.")

    async def _call(self, function):
        host = self._hosts[0]
        if host not in self.scenario.hosts.hosts:
            raise HostLost(host)
        with trio.move_on_after(_CALL_TIMEOUT_SECONDS) as self._deadline:
            try:
                return await self.scenario.hosts.call(host, function)
            except HostLost:
                if host in self.scenario.drained:
                    self.violations.append(f"{self.name}: Cut by the drain of {host}.")
                raise
        raise trio.TooSlowError

    def _next_host(self) -> None:
        self._hosts.append(self._hosts.pop(0))


class ChangeCaller:
    """Operator that changes the base document, and resends until it is answered."""

    def __init__(
        self, scenario, first_host: str, value: int = 300, change_id: str = "the-first"
    ):
        self.scenario = scenario
        self.first_host = first_host
        self.value = value
        self.change_id = change_id
        self.answers: list[ChangeAnswer] = []
        self.accepted_at = 0.0
        self.violations: list[str] = []
        # Number of times to send the same change to other hosts after its answer.
        self.resends = 0
        # Index of the change in the log, once known.
        self.index = 0
        self._hosts = list(scenario.hosts.places)
        self._hosts.remove(first_host)
        self._hosts.insert(0, first_host)
        self._change: Change | None = None

    @property
    def answer(self) -> ChangeAnswer | None:
        """First answer to the change, if any."""
        return self.answers[0] if self.answers else None

    @property
    def is_accepted(self) -> bool:
        """Whether the change was accepted."""
        return bool(self.answers) and self.answers[0].is_accepted

    def is_contained_in(self, data: bytes) -> bool:
        """Whether the bytes of a command or a write contain this change."""
        return self.change_id.encode() in data

    async def run(self) -> None:
        """Send the change until it is answered, then `resends` more times."""
        await trio.sleep(0.05)
        self._change = self._make_change()
        while len(self.answers) <= self.resends:
            await self._send_once()
            self._hosts.append(self._hosts.pop(0))
            await trio.sleep(_PAUSE_SECONDS)

    async def _send_once(self) -> None:
        host = self._hosts[0]
        if host not in self.scenario.hosts.hosts:
            return
        answer = None
        try:
            with trio.move_on_after(_CALL_TIMEOUT_SECONDS):
                answer = await self.scenario.hosts.call(
                    host,
                    lambda node: node.store.apply_change(
                        self._change, _CALL_TIMEOUT_SECONDS
                    ),
                )
        except (Failure, HostLost):
            return
        if answer is None:
            return
        self.answers.append(answer)
        if len(self.answers) == 1 and answer.is_accepted:
            self.accepted_at = trio.current_time()
            self.scenario.nursery.start_soon(self._check_propagation)

    def _make_change(self) -> Change:
        """Return a change to the base document as of the start of the scenario."""
        base = dict(self.scenario.base)
        base["limits"] = dict(base["limits"], max_queue=self.value)
        return Change(
            self.change_id,
            BASE,
            tomli_w.dumps(base),
            self.scenario.revision,
            "root",
            "",
        )

    async def _check_propagation(self) -> None:
        """Report hosts that stayed reachable for 2 s and still lack the change."""
        reachable = set(self.scenario.hosts.places)
        for _ in range(20):
            reachable &= {
                name for name in reachable if self.scenario.is_reachable(name)
            }
            await trio.sleep(0.1)
        for name in reachable:
            if self.scenario.is_reachable(name) and self.scenario.is_network_healthy:
                self._check_revision(name)

    def _check_revision(self, name: str) -> None:
        revision = self.scenario.hosts.hosts[name].node.store.revision
        if revision < self.answer.revision:
            self.violations.append(
                f"{name} has revision {revision}, not {self.answer.revision}."
            )


def _outcome_of(failure: Failure) -> Outcome:
    return Outcome(
        code=failure.code,
        text=failure.text,
        execution=failure.execution,
        retry_after=failure.retry_after,
    )


__all__ = ["ChangeCaller", "ChangeStatus", "Refusal", "RequestCaller"]
