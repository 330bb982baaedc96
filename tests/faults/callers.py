"""Callers that go on at another host when theirs fails them."""

from dataclasses import dataclass

import tomli_w
import trio

from pepperstep.configuration import BASE, Change, ChangeAnswer, ChangeStatus
from pepperstep.entities import Outcome, Request, RequestKind
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import answer_of
from pepperstep.fakes.hosts import HostLost

# Without a sign of life a caller breaks the connection and goes elsewhere.
_PATIENCE_SECONDS = 4.0
_PAUSE_SECONDS = 0.2
_TOKENS = 60
# Refusals after which a caller sends its request again.
_PASSING = (
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
    """A refusal as its caller got it."""

    request_id: str
    code: Code
    execution: Execution


class RequestCaller:
    """Caller of one request, which it repeats with its key until it's answered."""

    def __init__(
        self,
        scene,
        name: str,
        home: str,
        prompt: str = "",
        max_tokens: int = _TOKENS,
    ):
        self.scene = scene
        self.name = name
        # Idempotency key, which tells the content as well.
        self.key = name
        self.home = home
        self.prompt = prompt or f"Seat the guests of {name}."
        self.max_tokens = max_tokens
        self.request: Request | None = None
        self.ids: set[str] = set()
        self.accepted: list[str] = []
        # Those of the accepted ones that were accepted as this caller sent them.
        self._own: set[str] = set()
        self.tokens: list[str] = []
        self.tokens_beside: list[str] = []
        self.outcome: Outcome | None = None
        self.outcome_beside: Outcome | None = None
        self.refusals: list[Refusal] = []
        # Faults that the checker doesn't forgive, as they were seen.
        self.findings: list[str] = []
        self._hosts = list(scene.hosts.places)
        self._hosts.remove(home)
        self._hosts.insert(0, home)
        self._last_id = ""
        self.is_repeatable = not name.startswith("service")
        self._is_accepted = trio.Event()

    def has_attempt(self, attempt_id: str) -> bool:
        """Whether an attempt is one of this caller's."""
        return attempt_id.rsplit(".", 2)[0] in self.ids

    async def run(self) -> None:
        """Send and repeat until accepted, then read until there is an outcome."""
        while self.outcome is None:
            try:
                request_id = await self._call(self._submit)
                self.accepted.append(request_id)
                self._is_accepted.set()
                outcome = await self._read_on(request_id, self.tokens)
            except Failure as failure:
                self._take_refusal(_outcome_of(failure))
            except (HostLost, trio.TooSlowError):
                pass
            else:
                self._end(outcome, request_id)
            self._next_host()
            await trio.sleep(_PAUSE_SECONDS)
        self._is_accepted.set()

    async def read_beside(self, host: str) -> None:
        """Read the same answer from its start at another host."""
        await self._is_accepted.wait()
        while self.accepted:
            reader = RequestCaller(self.scene, self.name, host)
            reader.request, reader.ids = self.request, self.ids
            try:
                self.outcome_beside = await reader._read_on(
                    self.accepted[-1], self.tokens_beside
                )
            finally:
                self.findings += reader.findings
            if self.outcome_beside.is_answered or self.outcome is not None:
                return
            await trio.sleep(_PAUSE_SECONDS)

    def _end(self, outcome: Outcome, request_id: str) -> None:
        """Take an outcome, which is final for a request that was accepted.

        A repeat may find an earlier request that wasn't accepted in the end.
        """
        if outcome.code is Code.UNKNOWN_REQUEST:
            self.findings.append(f"{self.name}: {outcome.text}")
        if outcome.is_answered:
            self.outcome = outcome
        elif request_id in self._own or self.tokens:
            self._note_refusal(outcome)
            self.outcome = outcome
        else:
            self._take_refusal(outcome)

    def _take_refusal(self, outcome: Outcome) -> None:
        """Go on after a refusal that says when to come back, else end."""
        self._note_refusal(outcome)
        is_safe = self.is_repeatable or outcome.execution is Execution.NOT_RUN
        if outcome.code not in _PASSING or not is_safe:
            self.outcome = outcome

    def _note_refusal(self, outcome: Outcome) -> None:
        self.refusals.append(Refusal(self._last_id, outcome.code, outcome.execution))

    async def _submit(self, node) -> str:
        if not node.configuration.revision:
            # As the callers' border answers.
            raise Failure(Code.NOT_READY, "No configuration.", retry_after=1.0)
        request = self._new_request()
        self._last_id = request.id
        submitted = await node.requests.submit(request)
        self._last_id = submitted.id
        if submitted.id == request.id:
            self._own.add(request.id)
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
        number = 1000 * (1 + self.scene.callers.index(self)) + len(self.ids)
        host = self._hosts[0]
        request = self.scene.hosts.request(
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

    async def _read_on(self, request_id: str, tokens: list[str]) -> Outcome:
        """Read an answer at one host after another to its end."""
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
                    self.findings.append(f"{self.name}: Part at {part.position}.")
                tokens += part.tokens
                if tokens != expected[: len(tokens)]:
                    self.findings.append(f"{self.name}: Wrong tokens.")
                if part.outcome is not None:
                    return part.outcome
                self._deadline.deadline = trio.current_time() + _PATIENCE_SECONDS
        finally:
            await parts.aclose()
        raise AssertionError("The answer has no end.")

    async def _call(self, function):
        host = self._hosts[0]
        if host not in self.scene.hosts.hosts:
            raise HostLost(host)
        with trio.move_on_after(_PATIENCE_SECONDS) as self._deadline:
            try:
                return await self.scene.hosts.call(host, function)
            except HostLost:
                if host in self.scene.drained:
                    self.findings.append(f"{self.name}: Cut by the drain of {host}.")
                raise
        raise trio.TooSlowError

    def _next_host(self) -> None:
        self._hosts.append(self._hosts.pop(0))


class ChangeCaller:
    """Operator that changes the base, and resends until there is an answer."""

    def __init__(
        self, scene, home: str, value: int = 300, change_id: str = "the-first"
    ):
        self.scene = scene
        self.home = home
        self.value = value
        self.change_id = change_id
        self.answers: list[ChangeAnswer] = []
        self.accepted_at = 0.0
        self.findings: list[str] = []
        # Times to send the same change again after its answer, at other hosts.
        self.resends = 0
        # Its place in the log, once known.
        self.index = 0
        self._hosts = list(scene.hosts.places)
        self._hosts.remove(home)
        self._hosts.insert(0, home)
        self._change: Change | None = None

    @property
    def answer(self) -> ChangeAnswer | None:
        """The first answer."""
        return self.answers[0] if self.answers else None

    @property
    def is_accepted(self) -> bool:
        """Whether the change was accepted."""
        return bool(self.answers) and self.answers[0].is_accepted

    def is_in(self, data: bytes) -> bool:
        """Whether a command or what is written has this change."""
        return self.change_id.encode() in data

    async def run(self) -> None:
        """Send the change until it's answered, then resend it."""
        await trio.sleep(0.05)
        self._change = self._make_change()
        while len(self.answers) <= self.resends:
            await self._send_once()
            self._hosts.append(self._hosts.pop(0))
            await trio.sleep(_PAUSE_SECONDS)

    async def _send_once(self) -> None:
        host = self._hosts[0]
        if host not in self.scene.hosts.hosts:
            return
        answer = None
        try:
            with trio.move_on_after(_PATIENCE_SECONDS):
                answer = await self.scene.hosts.call(
                    host,
                    lambda node: node.store.apply_change(
                        self._change, _PATIENCE_SECONDS
                    ),
                )
        except (Failure, HostLost):
            return
        if answer is None:
            return
        self.answers.append(answer)
        if len(self.answers) == 1 and answer.is_accepted:
            self.accepted_at = trio.current_time()
            self.scene.nursery.start_soon(self._watch_force)

    def _make_change(self) -> Change:
        """Return a change of the base as it stood at the scene's start."""
        base = dict(self.scene.base)
        base["limits"] = dict(base["limits"], max_queue=self.value)
        return Change(
            self.change_id, BASE, tomli_w.dumps(base), self.scene.revision, "root", ""
        )

    async def _watch_force(self) -> None:
        """Note hosts that were reached all the time and don't have it in force."""
        reached = set(self.scene.hosts.places)
        for _ in range(20):
            reached &= {name for name in reached if self.scene.is_reached(name)}
            await trio.sleep(0.1)
        for name in reached:
            if self.scene.is_reached(name) and self.scene.is_network_whole:
                self._check_force(name)

    def _check_force(self, name: str) -> None:
        revision = self.scene.hosts.hosts[name].node.store.revision
        if revision < self.answer.revision:
            self.findings.append(
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
