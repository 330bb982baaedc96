"""Random orders of claims, finishes, fences, repeated commands and restarts."""

from dataclasses import dataclass, field

from hypothesis import given, settings, strategies as st

from pepperstep.claims import ClaimMachine, ClaimStatus, OutcomeKind
from pepperstep.proto.claims_pb2 import (
    ClaimBatchResult,
    ClaimsCommand,
    FenceResult,
)

HOSTS = ("a", "b", "c")
KEYS = ("k", "l")
TIME_TO_LIVE = 1000.0


@dataclass
class Run:
    """State machine under test and what its hosts know."""

    machine: ClaimMachine = field(default_factory=ClaimMachine)
    commands: list[bytes] = field(default_factory=list)
    # Keys of granted claims by claim id.
    granted: dict[str, str] = field(default_factory=dict)
    # Ids of granted claims whose request was not sent.
    ended: set[str] = field(default_factory=set)
    fenced: set[str] = field(default_factory=set)
    outcomes: dict[str, str] = field(default_factory=dict)

    def commit(self, command):
        data = command.SerializeToString()
        self.commands.append(data)
        return self.machine.apply(len(self.commands), data)

    def join(self):
        for host in HOSTS:
            command = ClaimsCommand()
            command.join.host = host
            command.join.start_id = "1"
            assert FenceResult.FromString(self.commit(command)).incarnation == 1

    def claim(self, host, key, is_answered):
        command = ClaimsCommand()
        claim_id = f"{host}.{len(self.commands)}"
        command.batch.claims.add(
            workspace="w",
            key=key,
            claim_id=claim_id,
            owner=host,
            incarnation=1,
            expires_at=TIME_TO_LIVE,
        )
        result = ClaimBatchResult.FromString(self.commit(command)).results[0]
        if result.status == ClaimStatus.GRANTED and is_answered:
            assert host not in self.fenced
            self.granted[claim_id] = key
        else:
            self.finish(claim_id, key, host, OutcomeKind.NOT_RUN)

    def finish(self, claim_id, key, host, kind):
        command = ClaimsCommand()
        finish = command.batch.finishes.add(
            workspace="w",
            key=key,
            claim_id=claim_id,
            sender=host,
            incarnation=1,
            expires_at=TIME_TO_LIVE,
        )
        finish.outcome.kind = kind
        self.commit(command)

    def end_granted(self, kind):
        """Let an owner finish its open claim."""
        for claim_id, key in self.granted.items():
            if claim_id not in self.outcomes:
                self.outcomes[claim_id] = kind
                self.finish(claim_id, key, claim_id[0], kind)
                if kind == OutcomeKind.NOT_RUN:
                    self.ended.add(claim_id)
                return

    def fence(self, host, sender):
        command = ClaimsCommand()
        command.fence.host = host
        command.fence.incarnation = 1
        command.fence.sender = sender
        command.fence.sender_incarnation = 1
        result = FenceResult.FromString(self.commit(command))
        if sender in self.fenced:
            assert result.status == "refused"
        else:
            self.fenced.add(host)

    def check(self):
        for key in KEYS:
            holders = [
                claim_id
                for claim_id, held in self.granted.items()
                if held == key and claim_id not in self.ended
            ]
            assert len(holders) <= 1
        # A key is either free or held by a granted claim that wasn't released.
        for (_, key), record in self.machine._claims.items():
            assert self.granted[record.claim_id] == key
            assert record.claim_id not in self.ended


_HOST = st.sampled_from(HOSTS)
_STEPS = st.one_of(
    st.tuples(st.just("claim"), _HOST, st.sampled_from(KEYS), st.booleans()),
    st.tuples(st.just("end_granted"), st.sampled_from(list(OutcomeKind))),
    st.tuples(st.just("fence"), _HOST, _HOST),
    st.tuples(st.just("repeat"), st.integers(0, 50)),
    st.tuples(st.just("restart")),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(_STEPS, max_size=25))
def test_at_most_one_holder_a_key(steps):
    run = Run()
    run.join()
    for kind, *arguments in steps:
        if kind == "repeat":
            # A repeated command has no further effect.
            number = arguments[0] % len(run.commands)
            run.machine.apply(0, run.commands[number])
        elif kind == "restart":
            data = run.machine.snapshot()
            run.machine = ClaimMachine()
            run.machine.restore(data)
            assert run.machine.snapshot() == data
        else:
            getattr(run, kind)(*arguments)
        run.check()
