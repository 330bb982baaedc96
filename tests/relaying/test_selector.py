"""Selection of upstreams by a scheduler, with a fake scheduler and chooser."""

import random
from types import SimpleNamespace

import pytest
import trio

from pepperstep.coordination import Announcement, UpstreamCatalog
from pepperstep.entities.routes import EngineCapacity, Quota, Service, Workspace
from pepperstep.errors import Failure
from pepperstep.fakes import FakeTimers
from pepperstep.fakes.relaying import FakeConnector
from pepperstep.ports.exchange import Answer
from pepperstep.ports.relaying import PromptPart, RequestFacts
from pepperstep.relay import Chooser, Pools
from pepperstep.relay.relayed_request import RelayedRequest
from pepperstep.relay.selector import Selector
from pepperstep.relay.usual_waits import UsualWaits
from pepperstep.scheduling import Refusal, RefusalReason
from pepperstep.scheduling.client import NotAdmitted

UPSTREAM = Announcement("u1", "plain", "u1:80", "z1")
REFUSED = NotAdmitted(Refusal(RefusalReason.LATE, 0.7, 1.0), "u1", "e1", 1)


class FakeScheduling:
    """Scheduler that refuses each request."""

    def __init__(self):
        self.asked = []

    async def place(self, service, request, candidates):
        self.asked.append(request)
        return REFUSED


class FakeChooser:
    """Chooser with one upstream, which hasn't been tried yet."""

    def candidates(self, service, facts, tried, software=None):
        return [UPSTREAM]

    def record_refused(self, candidates, facts):
        pass


class FakeRecorder:
    """Recorder that discards refusals."""

    def record_refused(self, event):
        pass


class Case:
    """A selector and its scheduler, with one request."""

    def __init__(self, workspace=None, wait=1.5, chooser=None):
        self.scheduling = FakeScheduling()
        self.waits = UsualWaits()
        timers = FakeTimers()
        self.selector = Selector(
            chooser or FakeChooser(),
            self.scheduling,
            self.waits,
            FakeRecorder(),
            timers,
        )
        self.request = RelayedRequest(
            SimpleNamespace(arrived_at=timers.now(), has_begun=False),
            RequestFacts(b"id", wait=wait),
            SimpleNamespace(name="route", target_latency=0.4),
            Service("plain"),
            workspace,
            priority=0,
            deadline=timers.now() + 1.5,
        )

    async def refuse(self):
        """Return the time to retry of a raised failure, None if none was raised."""
        try:
            assert await self.selector.select(self.request) is None
        except Failure as failure:
            return failure.retry_after
        return None


async def test_second_attempt_after_a_failed_connection_is_a_retry(autojump_clock):
    """Guards against admitted requests that are refused for their share later on."""
    case = Case()
    await case.refuse()
    case.request.tried.add(UPSTREAM.key)
    await case.refuse()
    assert [each.is_retry for each in case.scheduling.asked] == [False, True]


async def test_refusal_after_attempts_that_did_not_run_states_its_time(autojump_clock):
    """Guards against callers that return before the time reserved for them."""
    case = Case()
    case.request.tried.add(UPSTREAM.key)
    case.request.attempt_count = 1
    assert await case.refuse() == 0.7


@pytest.mark.parametrize("state", ["may have run", "has an answer", "has begun"])
async def test_refusal_after_a_run_keeps_the_earlier_outcome(autojump_clock, state):
    """Guards against a caller that is told that its request wasn't run."""
    case = Case()
    case.request.attempt_count = 1
    if state == "may have run":
        case.request.may_have_run = True
    elif state == "has an answer":
        case.request.failure_answer = Answer(500, b"", ())
    else:
        case.request.exchange.has_begun = True
    assert await case.refuse() is None


async def test_attempts_count_a_stated_wait_once(autojump_clock):
    """Guards against usual waits of requests that have many attempts."""
    case = Case()
    for _ in range(5):
        await case.refuse()
    assert case.waits._routes["route"]._total == 1


def workspace(quota):
    return Workspace("w", ("key",), quota=quota)


@pytest.mark.parametrize(
    ("quota", "weight"),
    [
        (None, 1.0),
        (Quota(20.0, 40.0), 20.0),
        (Quota(20_000.0, 40_000.0, counts_tokens=True, plain_tokens=500), 20.0),
        (Quota(0.0, 0.0), 1.0),
    ],
)
async def test_weight_is_the_quota_in_requests(autojump_clock, quota, weight):
    """Guards against tokens per second that are compared with requests per second."""
    case = Case(workspace(quota))
    await case.refuse()
    assert case.scheduling.asked[0].weight == weight


async def test_refused_prompts_count_as_demand(autojump_clock):
    """Guards against an autoscaler that doesn't see what the scheduling refuses."""
    catalog = UpstreamCatalog(trio.current_time)
    catalog.record(Announcement("u1", "model", "u1:80", "z1"))
    pools = Pools(FakeConnector(), lambda: 1, trio.current_time)
    chooser = Chooser(
        catalog, pools, "z1", lambda: 1, trio.current_time, random.Random(1)
    )
    case = Case(chooser=chooser)
    parts = (PromptPart("subject", 20_000), PromptPart("own", 10_000))
    case.request.service = Service("model", engine=EngineCapacity(16, 350_000))
    case.request.facts = RequestFacts(b"id", prompt_parts=parts)
    await case.refuse()
    reading = chooser.works()["model"].reading
    assert reading > 0.1
    # A second attempt isn't demand of its own.
    case.request.tried.add(("u2", 0))
    await case.refuse()
    assert chooser.works()["model"].reading == reading
