"""What operators see of a host: metrics, logs, events and explanations."""

from pepperstep.observability.events import Event, EventLog
from pepperstep.observability.explanations import (
    Explanation,
    Explanations,
    Step,
    StepKind,
)
from pepperstep.observability.logs import LogFormat, set_up_logs
from pepperstep.observability.metrics import Metrics
from pepperstep.observability.recorder import (
    ChunkFault,
    NullRecorder,
    RecomputeCause,
    Recorder,
    RetryCause,
)
from pepperstep.observability.views import (
    DocumentView,
    HostView,
    StatusView,
    UpstreamView,
    ValueView,
    VoterView,
)

__all__ = [
    "ChunkFault",
    "DocumentView",
    "Event",
    "EventLog",
    "Explanation",
    "Explanations",
    "HostView",
    "LogFormat",
    "Metrics",
    "NullRecorder",
    "Recorder",
    "RecomputeCause",
    "RetryCause",
    "StatusView",
    "Step",
    "StepKind",
    "UpstreamView",
    "ValueView",
    "VoterView",
    "set_up_logs",
]
