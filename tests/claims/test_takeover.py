"""A request's new owner replaces the claim of the previous one.

This must hold although messages of the previous owner arrive late.
"""

import itertools

import pytest

from pepperstep.claims import ClaimMachine, ClaimStatus, OutcomeKind
from pepperstep.proto.claims_pb2 import ClaimBatchResult, ClaimsCommand

EPOCHS = {"first": 1, "second": 2}


class ClaimLog:
    """Commits claims and finishes of one key."""

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


def test_new_owner_replaces_an_open_claim():
    log = ClaimLog()
    answers = [log.claim(each) for each in ("first", "second", "first", "second")]
    granted, released = ClaimStatus.GRANTED, ClaimStatus.RELEASED
    assert answers == [granted, granted, released, granted]
    # A late finish of the previous owner doesn't free the key.
    log.finish("first", OutcomeKind.NOT_RUN)
    assert log.claim("other", "s") == ClaimStatus.HELD


@pytest.mark.parametrize("kind", [OutcomeKind.ANSWERED, OutcomeKind.MAY_HAVE_RUN])
def test_claim_with_an_outcome_is_not_replaced(kind):
    log = ClaimLog()
    log.claim("first")
    log.finish("first", kind)
    assert log.claim("second") == ClaimStatus.HELD


def test_late_claim_of_the_previous_owner_is_not_granted():
    log = ClaimLog()
    assert log.claim("second") == ClaimStatus.GRANTED
    assert log.claim("first") == ClaimStatus.HELD
    log.finish("second", OutcomeKind.NOT_RUN)
    assert log.claim("second") == ClaimStatus.RELEASED
