"""Statuses that promise a caller that its request hasn't run and never will."""

from absl import logging

from pepperstep.fakes.relaying import Reply, Sent
from pepperstep.observability.decisions import (
    RequestEnded,
    RequestFailed,
    RequestRefused,
)
from pepperstep.ports.exchange import AnswerHead, Header
from tests.relaying.upstreams import serving
from tests.relaying.world import request

ID = b"pepperstep-attempt-id"
SEAL = (b"pepperstep-replica-seal", b"3e1b.07")
NOT_EXECUTED = (b"pepperstep-not-executed", b"1")


class Upstream:
    """Runs each request, and answers with one status and its seal."""

    def __init__(self, status: int, *headers: Header, states_not_run: bool = False):
        self.status = status
        self.headers = headers
        self.states_not_run = states_not_run
        self.runs = 0

    def answer(self, sent: Sent) -> Reply:
        """Answer a request."""
        stated = (NOT_EXECUTED,) if self.states_not_run else ()
        self.runs += not self.states_not_run
        echoed = (ID, sent.head.first(ID))
        head = AnswerHead(self.status, (echoed, SEAL, *stated, *self.headers))
        return Reply(head, (b"busy\n",))


async def test_log_tells_who_gave_a_status(autojump_clock, monkeypatch):
    events = []
    monkeypatch.setattr(logging, "info", lambda text, *values: events.extend(values))
    upstreams = {
        "own": Upstream(500),
        "refused": Upstream(503, states_not_run=True),
    }
    found = {}
    for name, upstream in upstreams.items():
        async with serving([upstream], entries=1) as world:
            await world.ask("e0:1", request("/unsafe/1"))
            found[name] = world.entries["e0:1"].metrics.render().decode()
    [failed, refusal] = [each for each in events if isinstance(each, RequestFailed)]
    assert (failed.status, failed.states_not_run) == (500, False)
    assert (refusal.status, refusal.states_not_run) == (503, True)
    [ended] = [each for each in events if isinstance(each, RequestEnded)]
    assert (ended.status, ended.upstream) == (500, "plain0")
    [refused] = [each for each in events if isinstance(each, RequestRefused)]
    assert (refused.status, refused.attempts) == (503, 1)
    assert (refused.upstream, refused.upstream_status) == ("plain0", 503)
    counter = 'pepperstep_statuses_total{source="%s",status="%d"} 1.0'
    assert counter % ("upstream", 500) in found["own"]
    assert counter % ("host", 503) in found["refused"]
