"""What a failed proposal says about its commit, with one leader that a test scripts."""

import random
from collections.abc import Awaitable, Callable

import pytest
import trio

from pepperstep.consensus.forwarding import Forwarder, new_proposal
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Execution, Failure
from pepperstep.fakes import FakeTimers
from pepperstep.proto import consensus_pb2 as pb

REFUSED = pb.LogProposeReply.Result(
    status=pb.LogProposeReply.REFUSED, code=Code.OVERLOADED, text="Too many wait."
)


class Leader:
    """Takes a number of messages without an answer, then refuses all proposals."""

    def __init__(self, unanswered: int):
        self.received = 0
        self._unanswered = unanswered

    async def call(
        self, peer: str, request: pb.LogProposeRequest, timeout: float
    ) -> pb.LogProposeReply:
        """Answer a message, or raise `Failure` after `timeout` seconds."""
        self.received += 1
        if self.received <= self._unanswered:
            await trio.sleep(timeout)
            raise Failure(Code.PEER_UNREACHABLE, "No answer in time.")
        results = [REFUSED] * len(request.proposals)
        return pb.LogProposeReply(is_leader=True, results=results)


async def fail_to_propose(call: Callable[..., Awaitable], *deadlines: float) -> Failure:
    """Propose a command for each deadline at once; return the first one's failure."""
    timers = FakeTimers()
    rng = random.Random(1)
    forwarder = Forwarder("log", ("control-0",), call, timers, rng, Tuning())
    failures: dict[int, Failure] = {}

    async def propose(number: int, deadline: float) -> None:
        proposal = new_proposal(rng, "claims", b"command", 0)
        with pytest.raises(Failure) as caught:
            await forwarder.propose(proposal, timers.now() + deadline)
        failures[number] = caught.value

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as proposals:
            for number, deadline in enumerate(deadlines):
                proposals.start_soon(propose, number, deadline)
            nursery.start_soon(forwarder.run)
        nursery.cancel_scope.cancel()
    return failures[0]


@pytest.mark.parametrize("deadlines", [(1.0,), (1.0, 1.2)])
async def test_proposal_under_way_at_its_deadline_may_be_committed(
    autojump_clock, deadlines
):
    """Guards against "not run" for a change that the leader is committing."""
    failure = await fail_to_propose(Leader(unanswered=100).call, *deadlines)
    assert failure.code is Code.NO_QUORUM
    assert failure.execution is Execution.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("unanswered", "execution"),
    [(0, Execution.NOT_RUN), (1, Execution.MAY_HAVE_RUN)],
)
async def test_refusal_of_a_resent_proposal_speaks_of_the_resend_alone(
    autojump_clock, unanswered, execution
):
    """Guards against "not run" for a change whose first message was taken."""
    failure = await fail_to_propose(Leader(unanswered).call, 10.0)
    assert failure.code is Code.OVERLOADED
    assert failure.execution is execution


async def test_proposal_that_was_never_sent_is_not_committed(autojump_clock):
    """Guards against a doubt about each change without a leader."""

    async def decline(peer, request, timeout):
        return pb.LogProposeReply(is_leader=False)

    failure = await fail_to_propose(decline, 1.0)
    assert failure.code is Code.NO_QUORUM
    assert failure.execution is Execution.NOT_RUN
