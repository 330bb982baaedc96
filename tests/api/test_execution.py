"""What answers say about execution, for each error code.

A caller that is told "not run" may send the request again, so nothing that may have run
is answered with that word or with a header on which clients repeat calls on their own.
"""

from itertools import product

import openai
import pytest
import trio

from pepperstep.entities import Outcome
from pepperstep.errors import Code, Execution, Failure
from tests.api.fake_node import FakeNode, ask
from tests.api.test_callers import PROMPT, PROMPT_PATH
from tests.api.test_documented_errors import NEVER_SENT, documented_statuses
from tests.api.test_server import call_until_given_up, serving

CODES = sorted(set(Code) - NEVER_SENT)
# One code for each status.
STATUSES = {documented_statuses()[code]: code for code in CODES}
RETRY_TIMES = [None, 0.0, 0.001, 60.0, 61.0]
ONCE = {"x-repeatable": "false"}


def refused_node(code: Code, execution: Execution, retry_after: float | None):
    """Return a node that refuses requests."""
    node = FakeNode()
    node.requests.refusal = Failure(
        code, "Refused.", execution=execution, retry_after=retry_after
    )
    return node


def failing_node(code: Code, execution: Execution, retry_after: float | None):
    """Return a node whose requests fail before their first token."""
    node = FakeNode()

    async def read(request_id, workspace, position=0):
        yield Failed(code, execution, retry_after)

    node.requests.read = read
    return node


class Failed:
    """The only part of an answer that failed."""

    def __init__(self, code: Code, execution: Execution, retry_after: float | None):
        self.tokens: list[str] = []
        self.outcome = Outcome(code=code, execution=execution, retry_after=retry_after)


@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize("make_node", [refused_node, failing_node])
@pytest.mark.parametrize("code", CODES)
async def test_nothing_that_may_have_run_invites_a_repeat(
    autojump_clock, code, make_node, streams
):
    """Guards against a second run of what its caller takes for not run."""
    for execution, retry_after in product(Execution, RETRY_TIMES):
        api = make_node(code, execution, retry_after).api()
        body = PROMPT | {"stream": streams}
        answer = await ask(api, "POST", PROMPT_PATH, body, headers=ONCE)
        may_have_run = execution is Execution.MAY_HAVE_RUN or code is Code.INTERNAL
        told = Execution.MAY_HAVE_RUN if may_have_run else Execution.NOT_RUN
        assert answer.json["error"]["execution"] == told
        assert answer.headers["x-execution"] == told
        if may_have_run or retry_after is None or retry_after > 60.0:
            assert answer.headers["x-should-retry"] == "false"
        else:
            assert answer.headers["x-should-retry"] == "true"


@pytest.mark.parametrize(("status", "code"), sorted(STATUSES.items()))
async def test_openai_client_repeats_nothing_that_may_have_run(
    unused_tcp_port, status, code
):
    """Guards against clients that repeat calls for their status alone."""
    node = failing_node(code, Execution.MAY_HAVE_RUN, 0.001)
    async with serving(node, unused_tcp_port):
        error = await trio.to_thread.run_sync(call_until_given_up, unused_tcp_port)
    assert isinstance(error, openai.APIStatusError)
    assert (error.status_code, len(node.requests.submitted)) == (status, 1)
