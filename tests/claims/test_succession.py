"""A request's later owner claims in place of the earlier one, whatever is late."""

import itertools

import pytest

from pepperstep.claims import ClaimMachine, ClaimStatus, OutcomeKind
from pepperstep.proto.claims_pb2 import ClaimBatchResult, ClaimsCommand

EPOCHS = {"first": 1, "second": 2}


class Log:
    """Commits claims and ends of one key, and knows who may send."""

    def __init__(self):
        self.machine = ClaimMachine()
        self.numbers = itertools.count(1)

    def claim(self, owner: str, request_id: str = "r") -> str:
        command = ClaimsCommand()
        command.batch.claims.add(
            key="k",
            claim_id=owner,
            request_id=request_id,
            owner=owner,
            expires_at=9.0,
            epoch=EPOCHS.get(owner, 1),
        )
        data = self.machine.apply(next(self.numbers), command.SerializeToString())
        return ClaimBatchResult.FromString(data).results[0].status

    def finish(self, owner: str, kind: OutcomeKind) -> None:
        command = ClaimsCommand()
        finish = command.batch.finishes.add(
            key="k", claim_id=owner, sender=owner, expires_at=9.0
        )
        finish.outcome.kind = kind
        self.machine.apply(next(self.numbers), command.SerializeToString())


def test_later_owner_gets_the_claim():
    log = Log()
    answers = [log.claim(each) for each in ("first", "second", "first", "second")]
    granted, released = ClaimStatus.GRANTED, ClaimStatus.RELEASED
    assert answers == [granted, granted, released, granted]
    # What the earlier owner still sends frees nothing.
    log.finish("first", OutcomeKind.NOT_RUN)
    assert log.claim("other", "s") == ClaimStatus.HELD


@pytest.mark.parametrize("kind", [OutcomeKind.ANSWERED, OutcomeKind.MAY_HAVE_RUN])
def test_ended_claim_stays(kind):
    log = Log()
    log.claim("first")
    log.finish("first", kind)
    assert log.claim("second") == ClaimStatus.HELD


def test_late_claim_of_the_earlier_owner_is_not_granted():
    log = Log()
    assert log.claim("second") == ClaimStatus.GRANTED
    assert log.claim("first") == ClaimStatus.HELD
    log.finish("second", OutcomeKind.NOT_RUN)
    assert log.claim("second") == ClaimStatus.RELEASED
