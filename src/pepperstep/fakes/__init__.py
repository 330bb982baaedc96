"""In-memory fakes of the ports, for tests that run in virtual time.

Whole hosts run in one process on trio's `MockClock`. Methods and attributes of
the fakes inject failures.
"""

from pepperstep.fakes.agreement import FakeAgreement, FakeLog
from pepperstep.fakes.cloud import FakeCloud, FakeWeightStore
from pepperstep.fakes.directory import FakeDirectory
from pepperstep.fakes.network import FakeNetwork, FakePeers
from pepperstep.fakes.storage import FakeDisk
from pepperstep.fakes.timers import FakeTimers
from pepperstep.fakes.upstreams import (
    FakeEngine,
    FakeService,
    FakeUpstreams,
    answer_of,
    answer_token,
)

__all__ = [
    "FakeAgreement",
    "FakeCloud",
    "FakeDirectory",
    "FakeDisk",
    "FakeEngine",
    "FakeLog",
    "FakeNetwork",
    "FakePeers",
    "FakeService",
    "FakeTimers",
    "FakeUpstreams",
    "FakeWeightStore",
    "answer_of",
    "answer_token",
]
