"""Metrics, explanations, events and logs of one host."""

import io
import json
import logging as standard_logging
import random
import sys

import pytest

from pepperstep.entities import Priority
from pepperstep.errors import Code
from pepperstep.fakes import FakeTimers
from pepperstep.observability import EventLog
from pepperstep.observability.explanations import Explanations, StepKind
from pepperstep.observability.logs import JsonFormatter
from pepperstep.observability.metrics import Metrics
from pepperstep.observability.recorder import (
    ChunkFault,
    NullRecorder,
    RecomputeCause,
    Recorder,
    RetryCause,
)

LABELS = 'class="interactive",workspace="planners"'
MEASUREMENTS = [
    ("record_first_token", ("planners", Priority.INTERACTIVE, 0.3)),
    ("record_token_interval", ("planners", Priority.INTERACTIVE, 0.02)),
    ("record_answer", ("planners", Priority.INTERACTIVE, 3.0)),
    ("record_queueing", ("planners", Priority.INTERACTIVE, 0.1)),
    ("record_refusal", (Code.QUEUE_FULL,)),
    ("record_retry", (RetryCause.REFUSED,)),
    ("record_recomputed", (RecomputeCause.RECLAIM, 500)),
    ("record_chunk_fault", (ChunkFault.CROSSED,)),
    ("record_cost", ("zaseki-model", "reclaimable", 0.25)),
]
EXPECTED_LINES = {
    "record_first_token": "pepperstep_time_to_first_token_seconds_count"
    f"{{{LABELS}}} 1.0",
    "record_token_interval": "pepperstep_time_between_tokens_seconds_sum"
    f"{{{LABELS}}} 0.02",
    "record_answer": f"pepperstep_request_seconds_count{{{LABELS}}} 1.0",
    "record_queueing": f"pepperstep_queueing_seconds_sum{{{LABELS}}} 0.1",
    "record_refusal": 'pepperstep_refusals_total{code="queue_full"} 1.0',
    "record_retry": 'pepperstep_retries_total{cause="refused"} 1.0',
    "record_recomputed": 'pepperstep_recomputed_tokens_total{cause="reclaim"} 500.0',
    "record_chunk_fault": 'pepperstep_chunk_faults_total{fault="crossed"} 1.0',
    "record_cost": 'pepperstep_cost_total{deployment="zaseki-model",'
    'price_class="reclaimable"} 0.25',
}


@pytest.mark.parametrize(("method", "arguments"), MEASUREMENTS)
def test_measurement_is_exported_by_its_own_host(method, arguments):
    here, there = Metrics(), Metrics()
    getattr(here, method)(*arguments)
    assert EXPECTED_LINES[method] in here.render().decode().splitlines()
    assert EXPECTED_LINES[method] not in there.render().decode().splitlines()
    getattr(NullRecorder(), method)(*arguments)


def test_all_recorder_methods_are_tested():
    names = {name for name in vars(Recorder) if name.startswith("record_")}
    assert names == {method for method, _ in MEASUREMENTS}


def test_gauge_is_read_at_each_scrape():
    metrics = Metrics()
    values = iter([7, 8])
    metrics.add_gauge("revision", "Revision in force", lambda: next(values))
    assert b"pepperstep_revision 7.0" in metrics.render()
    assert b"pepperstep_revision 8.0" in metrics.render()


async def test_explanations_are_bounded(autojump_clock):
    explanations = Explanations("entry-0", FakeTimers(random.Random(1)), 2)
    for number in range(3):
        explanations.note(f"entry-0.{number}", StepKind.ACCEPTED)
    for attempt in range(1, 101):
        explanations.note(
            "entry-0.2", StepKind.DISPATCHED, attempt=attempt, upstream="engine-1"
        )
    assert explanations.find("entry-0.0") is None
    found = explanations.find("entry-0.2")
    assert len(found.steps) + found.left_out == 101
    assert found.steps[0].kind is StepKind.ACCEPTED
    assert found.steps[-1].attempt == 100
    assert len(found.steps) <= 64


async def test_events_have_increasing_ids(autojump_clock):
    log = EventLog("entry-0", FakeTimers(random.Random(1)), 3)
    for number in range(5):
        log.note("fleet", f"Started host {number}.", "The target needs it.")
    assert [event.id for event in log.after(0, 10)] == [3, 4, 5]
    assert [event.id for event in log.after(3, 1)] == [4]
    assert [event.id for event in log.last(2)] == [4, 5]
    assert log.last(0) == []


@pytest.mark.parametrize(
    ("text", "part", "message"),
    [
        ("node: Runs.", "node", "Runs."),
        ("requests: Lost: engine.", "requests", "Lost: engine."),
        ("No part here.", "other", "No part here."),
        ("two words: here.", "other", "two words: here."),
    ],
)
def test_json_line_has_component_and_message(text, part, message):
    stream = io.StringIO()
    handler = standard_logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    logger = standard_logging.Logger("test")
    logger.addHandler(handler)
    try:
        raise ValueError("line\nbreak")
    except ValueError:
        logger.warning(text, exc_info=sys.exc_info())
    (line,) = stream.getvalue().splitlines()
    value = json.loads(line)
    assert (value["part"], value["message"]) == (part, message)
    assert value["level"] == "warning"
    assert value["time"].endswith("+00:00")
    assert "ValueError" in value["exception"]
