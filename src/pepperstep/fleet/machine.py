"""Replicated state machine of the fleet.

Each command carries the epoch that its proposer leads in, and each epoch is opened by
a command. Commands of an earlier leader are thus fenced off however late they arrive.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import replace

from google.protobuf.message import DecodeError

from pepperstep.errors import Code, Failure
from pepperstep.fleet.actions import (
    Action,
    ActionKind,
    ActionState,
    Transition,
    is_allowed,
)
from pepperstep.fleet.costs import CostAccount, CostKey
from pepperstep.fleet.events import Event, EventLog
from pepperstep.fleet.history import PoolHistory, PoolKey
from pepperstep.fleet.messages import (
    action_from_message,
    action_to_message,
    event_from_message,
    event_to_message,
    notice_from_message,
    notice_to_message,
    pool_event_from_message,
    pool_from_message,
    pool_to_message,
    transition_from_message,
)
from pepperstep.ports.cloud import PriceClass, ReclaimNotice
from pepperstep.proto import fleet_pb2 as pb

__all__ = ["MACHINE_NAME", "FleetStateMachine"]

# Name under which the machine is registered with the log.
MACHINE_NAME = "fleet"

_MAX_ACTIONS = 16_384
_MAX_POOLS = 4096
_MAX_FINISHED = 512
_MAX_RESULTS = 256
# Time that a delivered notice is retained after its host's reclaim.
_NOTICE_RETENTION_SECONDS = 600.0


class FleetStateMachine:
    """Actions, notices, pools, costs and events, replicated to all control hosts."""

    def __init__(self) -> None:
        self.costs = CostAccount()
        self.events = EventLog()
        # Open actions and live starts by id.
        self.actions: dict[str, Action] = {}
        # Finished actions, newest last.
        self.finished: deque[Action] = deque(maxlen=_MAX_FINISHED)
        self.pools: dict[PoolKey, PoolHistory] = {}
        self.notices: dict[int, ReclaimNotice] = {}
        # Ids of notices already delivered to the reclaim handler.
        self.handed_notices: set[int] = set()
        self.last_notice = 0
        self._epoch = 0
        self._term = 0
        self._leader = ""
        self._fence = 0
        self._results: OrderedDict[str, bytes] = OrderedDict()

    @property
    def epoch(self) -> int:
        """Epoch of the newest leader."""
        return self._epoch

    @property
    def leader(self) -> str:
        """Host that opened the newest epoch."""
        return self._leader

    def live_starts(self) -> list[Action]:
        """Return the starts that are open or whose host is running."""
        return [action for action in self.actions.values() if action.is_live_start]

    def open_actions(self) -> list[Action]:
        """Return the open actions, oldest first."""
        return [action for action in self.actions.values() if action.is_open]

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a serialized `FleetCommand`; return a serialized `FleetResult`.

        A command with a known id isn't applied again: its first result is returned.
        """
        try:
            decoded = _DecodedCommand(pb.FleetCommand.FromString(command))
        except (DecodeError, ValueError):
            return pb.FleetResult(epoch=self._epoch).SerializeToString()
        previous = self._results.get(decoded.id)
        if previous is not None:
            return previous
        result = self._execute(decoded).SerializeToString()
        self._results[decoded.id] = result
        if len(self._results) > _MAX_RESULTS:
            self._results.popitem(last=False)
        return result

    def snapshot(self) -> bytes:
        """Return a serialized `FleetState`."""
        state = pb.FleetState(
            epoch=self._epoch,
            term=self._term,
            leader=self._leader,
            fence=self._fence,
            acts=[action_to_message(action) for action in self.actions.values()],
            finished=[action_to_message(action) for action in self.finished],
            last_notice=self.last_notice,
            notices=[
                notice_to_message(notice, notice.id in self.handed_notices)
                for notice in self.notices.values()
            ],
            pools=[pool_to_message(key, pool) for key, pool in self.pools.items()],
            rates=_rates_to_messages(self.costs),
            rates_time=self.costs.time,
            events=[event_to_message(event) for event in self.events.since()],
            last_event=self.events.last,
        )
        for key, result in self._results.items():
            state.answers.add(id=key, result=result)
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's; raise `Failure` if it can't be parsed."""
        try:
            self._load(pb.FleetState.FromString(data))
        except (DecodeError, ValueError) as error:
            text = "The fleet's snapshot can't be read."
            raise Failure(Code.CORRUPT_STORAGE, text) from error

    def _load(self, state: pb.FleetState) -> None:
        self._epoch, self._term = state.epoch, state.term
        self._leader, self._fence = state.leader, state.fence
        self.actions = {action.id: action_from_message(action) for action in state.acts}
        self.finished = deque(
            map(action_from_message, state.finished), maxlen=_MAX_FINISHED
        )
        self.last_notice = state.last_notice
        self.notices = {each.id: notice_from_message(each) for each in state.notices}
        self.handed_notices = {each.id for each in state.notices if each.is_handed}
        self.pools = dict(map(pool_from_message, state.pools))
        self.costs = _account_from_state(state)
        events = [event_from_message(event) for event in state.events]
        self.events = EventLog(events, state.last_event)
        self._results = OrderedDict((each.id, each.result) for each in state.answers)

    def _execute(self, decoded: "_DecodedCommand") -> pb.FleetResult:
        command = decoded.command
        if command.HasField("lead"):
            if command.lead.term < self._term:
                return pb.FleetResult(is_fenced=True, epoch=self._epoch)
            self._begin_epoch(command)
        elif command.epoch != self._epoch and not decoded.has_only_events:
            return pb.FleetResult(is_fenced=True, epoch=self._epoch)
        changed = self._record_actions(decoded.actions, command.time)
        changed += self._apply_transitions(decoded.transitions, command.time)
        self._apply_observations(decoded)
        for event in decoded.events:
            self.events.add(event)
        return pb.FleetResult(
            epoch=self._epoch,
            acts=[action_to_message(action) for action in changed if action],
        )

    def _begin_epoch(self, command: pb.FleetCommand) -> None:
        self._epoch += 1
        self._term = command.lead.term
        self._leader = command.lead.leader
        text = f"Leads the fleet in epoch {self._epoch}, term {self._term}."
        self.events.add(Event(command.time, "lead", self._leader, text))

    def _record_actions(self, actions: Iterable[Action], time: float) -> list[Action]:
        recorded = []
        for action in actions:
            if action.id in self.actions or len(self.actions) >= _MAX_ACTIONS:
                continue
            new = replace(
                action,
                state=ActionState.RECORDED,
                fence=self._next_fence(),
                recorded_at=time,
                changed_at=time,
            )
            self.actions[action.id] = new
            self.events.add(
                Event(
                    time,
                    action.kind,
                    action.subject,
                    _describe_action(action),
                    action.reason,
                )
            )
            recorded.append(new)
        return recorded

    def _apply_transitions(
        self, transitions: Iterable[Transition], time: float
    ) -> list[Action]:
        return [self._apply_transition(transition, time) for transition in transitions]

    def _apply_transition(self, transition: Transition, time: float) -> Action | None:
        action = self.actions.get(transition.id)
        if (
            action is None
            or action.fence != transition.fence
            or not is_allowed(action, transition.state)
        ):
            return None
        new = replace(
            action,
            state=transition.state,
            host_id=transition.host_id or action.host_id,
            changed_at=time,
        )
        if transition.state is ActionState.RECORDED:
            new = replace(new, fence=self._next_fence(), repeats=action.repeats + 1)
        if new.is_open or new.is_live_start:
            self.actions[action.id] = new
        else:
            del self.actions[action.id]
            self.finished.append(new)
        if transition.state is not ActionState.SENT:
            text = f"{action.kind} {action.id} is {transition.state}."
            self.events.add(
                Event(
                    time,
                    f"{action.kind}_{transition.state}",
                    new.subject,
                    text,
                    transition.reason,
                )
            )
        return new

    def _apply_observations(self, decoded: "_DecodedCommand") -> None:
        time = decoded.command.time
        for notice in decoded.notices:
            if notice.id > self.last_notice:
                self.last_notice = notice.id
                self.notices[notice.id] = notice
                text = f"The host is taken back at {notice.at:.0f}."
                self.events.add(Event(time, "reclaim", notice.host_id, text))
        self.handed_notices.update(
            each for each in decoded.command.handed_notices if each in self.notices
        )
        for notice in list(self.notices.values()):
            is_expired = time > notice.at + _NOTICE_RETENTION_SECONDS
            if is_expired and notice.id in self.handed_notices:
                del self.notices[notice.id]
                self.handed_notices.discard(notice.id)
        for pool_event in decoded.pool_events:
            if pool_event.key in self.pools or len(self.pools) < _MAX_POOLS:
                pool = self.pools.get(pool_event.key, PoolHistory())
                self.pools[pool_event.key] = pool.with_event(pool_event, time)
        if decoded.command.HasField("rates"):
            self.costs.set_rates(decoded.rates, time)

    def _next_fence(self) -> int:
        self._fence += 1
        return self._fence


class _DecodedCommand:
    """A fully decoded command; raise ValueError for unknown enum values."""

    def __init__(self, command: pb.FleetCommand):
        self.command = command
        self.id = command.id
        self.actions = [action_from_message(action) for action in command.acts]
        self.transitions = [
            transition_from_message(transition) for transition in command.steps
        ]
        self.notices = [notice_from_message(notice) for notice in command.notices]
        self.pool_events = [
            pool_event_from_message(pool_event) for pool_event in command.marks
        ]
        self.events = [event_from_message(event) for event in command.events]
        self.rates = {_cost_key(rate): rate.rate for rate in command.rates.rates}

    @property
    def has_only_events(self) -> bool:
        """Whether the command only adds events, which any host may propose."""
        fields = {field.name for field, _ in self.command.ListFields()}
        return fields <= {"id", "time", "events"}


def _describe_action(action: Action) -> str:
    if action.kind is ActionKind.START:
        offer = action.offer
        return (
            f"Start a host for {action.deployment} in {offer.zone}, {offer.machine}, "
            f"{offer.price_class}, {offer.price:g} an hour."
        )
    if action.kind is ActionKind.STOP:
        return f"Stop a host of {action.deployment}."
    key = action.model_key
    detail = action.role or ""
    if key is not None:
        detail = ":".join((key.model, key.adapter, key.version))
    return f"Order {action.kind} {detail}".rstrip() + "."


def _cost_key(rate: pb.FleetRate) -> CostKey:
    return CostKey(rate.deployment, PriceClass(rate.price_class))


def _rates_to_messages(costs: CostAccount) -> list[pb.FleetRate]:
    return [
        pb.FleetRate(
            deployment=key.deployment,
            price_class=key.price_class,
            rate=costs.rates.get(key, 0.0),
            total=costs.totals.get(key, 0.0),
        )
        for key in sorted({*costs.rates, *costs.totals})
    ]


def _account_from_state(state: pb.FleetState) -> CostAccount:
    account = CostAccount()
    account.time = state.rates_time
    for rate in state.rates:
        key = _cost_key(rate)
        account.totals[key] = rate.total
        if rate.rate:
            account.rates[key] = rate.rate
    return account
