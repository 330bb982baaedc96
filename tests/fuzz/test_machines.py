"""State machines fed with arbitrary commands and snapshots.

Control hosts whose machines answer the same command differently would diverge. An
exception would end each host that applies the command.
"""

import hashlib

import pytest
import tomli_w
from google.protobuf.message import DecodeError, Message
from hypothesis import HealthCheck, given, settings, strategies as st

from pepperstep.claims import ClaimMachine
from pepperstep.configuration import BASE, hash_key
from pepperstep.configuration.machine import ConfigurationMachine
from pepperstep.errors import Code, Failure
from pepperstep.fleet.machine import FleetStateMachine
from pepperstep.ports import Machine
from pepperstep.proto import claims_pb2, configuration_pb2, fleet_pb2, journal_pb2
from pepperstep.requests import LinkMachine
from tests.fuzz.messages import cut_or_flipped, messages_of

FUZZ = settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
BASE_TEXT = tomli_w.dumps(
    {"operators": {"root": {"key_sha256": hash_key("root"), "may_change_base": True}}}
)
FIRST_CHANGE = configuration_pb2.ChangeCommand(
    change_id="first",
    document=BASE,
    operator="root",
    digest=hashlib.sha256(BASE_TEXT.encode()).digest(),
    text=BASE_TEXT,
)
# Machine, its command, snapshot and result types, and a valid first command.
MACHINES = [
    (
        ClaimMachine,
        claims_pb2.ClaimsCommand,
        claims_pb2.ClaimsState,
        [claims_pb2.ClaimBatchResult, claims_pb2.FenceResult],
        claims_pb2.ClaimsCommand(batch={"sent_at": 5.0}),
    ),
    (
        LinkMachine,
        journal_pb2.LinkCommand,
        journal_pb2.LinkSnapshot,
        [journal_pb2.LinkDecision],
        journal_pb2.LinkCommand(is_takeover=True),
    ),
    (
        ConfigurationMachine,
        configuration_pb2.ChangeCommand,
        configuration_pb2.ConfigurationState,
        [configuration_pb2.ChangeResult],
        FIRST_CHANGE,
    ),
    (
        FleetStateMachine,
        fleet_pb2.FleetCommand,
        fleet_pb2.FleetState,
        [fleet_pb2.FleetResult],
        fleet_pb2.FleetCommand(id="first", lead={"term": 1, "leader": "entry-0"}),
    ),
]
EACH_MACHINE = pytest.mark.parametrize(
    ("machine_type", "command", "state", "results", "first"),
    MACHINES,
    ids=lambda value: getattr(value, "__name__", ""),
)


def encoded(message_type: type[Message]) -> st.SearchStrategy[bytes]:
    whole = messages_of(message_type).map(lambda message: message.SerializeToString())
    return st.one_of(st.binary(max_size=20), whole, whole.flatmap(cut_or_flipped))


def is_readable(data: bytes, message_type: type[Message]) -> bool:
    try:
        message_type.FromString(data)
    except DecodeError:
        return False
    return True


def restored(machine: Machine) -> Machine:
    copy = type(machine)()
    copy.restore(machine.snapshot())
    return copy


@FUZZ
@EACH_MACHINE
@given(data=st.data())
def test_any_command(machine_type, command, state, results, first, data):
    """Also a host that starts from a snapshot in between answers the same."""
    commands = data.draw(st.lists(encoded(command), max_size=5))
    one, two = machine_type(), machine_type()
    for index, each in enumerate([first.SerializeToString(), *commands], 1):
        answer = one.apply(index, each)
        assert answer == two.apply(index, each)
        assert any(is_readable(answer, each) for each in results)
        two = restored(two)
        assert one.snapshot() == two.snapshot()


@FUZZ
@EACH_MACHINE
@given(data=st.data())
def test_any_snapshot(machine_type, command, state, results, first, data):
    try:
        machine_type().restore(data.draw(encoded(state)))
    except Failure as failure:
        assert failure.code in (Code.CORRUPT_STORAGE, Code.INVALID_CONFIGURATION)
