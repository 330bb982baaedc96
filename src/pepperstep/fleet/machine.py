"""The fleet's agreed record, which follows from the commands in the log.

Each command names the epoch that its proposer leads in. An epoch begins with
a command of its own, so commands of an earlier leader are refused however
late they come.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import replace

from google.protobuf.message import DecodeError

from pepperstep.errors import Code, Failure
from pepperstep.fleet.acts import Action, ActionKind, ActionState, Step, is_allowed
from pepperstep.fleet.costs import CostAccount, CostKey
from pepperstep.fleet.events import Event, EventLog
from pepperstep.fleet.history import Pool, PoolKey
from pepperstep.fleet.messages import (
    act_from,
    act_to,
    event_from,
    event_to,
    mark_from,
    notice_from,
    notice_to,
    pool_from,
    pool_to,
    step_from,
)
from pepperstep.ports.cloud import PriceClass, ReclaimNotice
from pepperstep.proto import fleet_pb2 as pb

__all__ = ["MACHINE_NAME", "FleetStateMachine"]

# Name under which the machine is registered with the log.
MACHINE_NAME = "fleet"

_MAX_ACTS = 16_384
_MAX_POOLS = 4096
_FINISHED_KEPT = 512
_ANSWERS_KEPT = 256
# Time that a notice is kept after its host was taken back.
_NOTICE_SECONDS = 600.0


class FleetStateMachine:
    """Acts, notices, pools, costs and events, equal on all control hosts."""

    def __init__(self) -> None:
        self.costs = CostAccount()
        self.events = EventLog()
        # Open acts, and starts whose host lives, by id.
        self.acts: dict[str, Action] = {}
        # Others, the newest last.
        self.finished: deque[Action] = deque(maxlen=_FINISHED_KEPT)
        self.pools: dict[PoolKey, Pool] = {}
        self.notices: dict[int, ReclaimNotice] = {}
        # Notices that were handed on to the requests' moves.
        self.handed_notices: set[int] = set()
        self.last_notice = 0
        self._epoch = 0
        self._term = 0
        self._leader = ""
        self._fence = 0
        self._answers: OrderedDict[str, bytes] = OrderedDict()

    @property
    def epoch(self) -> int:
        """The newest leader's epoch."""
        return self._epoch

    @property
    def leader(self) -> str:
        """Host that leads in the newest epoch."""
        return self._leader

    def hosts(self) -> list[Action]:
        """Return the starts that are open or whose host lives."""
        return [act for act in self.acts.values() if act.is_host]

    def open_actions(self) -> list[Action]:
        """Return the acts that are neither done nor given up, oldest first."""
        return [act for act in self.acts.values() if act.is_open]

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a `FleetCommand`, return a `FleetResult`."""
        try:
            changes = _Changes(pb.FleetCommand.FromString(command))
        except (DecodeError, ValueError):
            return pb.FleetResult(epoch=self._epoch).SerializeToString()
        known = self._answers.get(changes.id)
        if known is not None:
            return known
        result = self._decide(changes).SerializeToString()
        self._answers[changes.id] = result
        if len(self._answers) > _ANSWERS_KEPT:
            self._answers.popitem(last=False)
        return result

    def snapshot(self) -> bytes:
        """Return a `FleetState`."""
        state = pb.FleetState(
            epoch=self._epoch,
            term=self._term,
            leader=self._leader,
            fence=self._fence,
            acts=[act_to(act) for act in self.acts.values()],
            finished=[act_to(act) for act in self.finished],
            last_notice=self.last_notice,
            notices=[
                notice_to(notice, notice.id in self.handed_notices)
                for notice in self.notices.values()
            ],
            pools=[pool_to(key, pool) for key, pool in self.pools.items()],
            rates=_rates_to(self.costs),
            rates_time=self.costs.time,
            events=[event_to(event) for event in self.events.since()],
            last_event=self.events.last,
        )
        for key, result in self._answers.items():
            state.answers.add(id=key, result=result)
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Take the state of a snapshot; raise `Failure` if it can't be read."""
        try:
            self._take(pb.FleetState.FromString(data))
        except (DecodeError, ValueError) as error:
            text = "The fleet's snapshot can't be read."
            raise Failure(Code.CORRUPT_STORAGE, text) from error

    def _take(self, state: pb.FleetState) -> None:
        self._epoch, self._term = state.epoch, state.term
        self._leader, self._fence = state.leader, state.fence
        self.acts = {act.id: act_from(act) for act in state.acts}
        self.finished = deque(map(act_from, state.finished), maxlen=_FINISHED_KEPT)
        self.last_notice = state.last_notice
        self.notices = {each.id: notice_from(each) for each in state.notices}
        self.handed_notices = {each.id for each in state.notices if each.is_handed}
        self.pools = dict(map(pool_from, state.pools))
        self.costs = _account_from(state)
        events = [event_from(event) for event in state.events]
        self.events = EventLog(events, state.last_event)
        self._answers = OrderedDict((each.id, each.result) for each in state.answers)

    def _decide(self, changes: "_Changes") -> pb.FleetResult:
        command = changes.command
        if command.HasField("lead"):
            if command.lead.term < self._term:
                return pb.FleetResult(is_fenced=True, epoch=self._epoch)
            self._begin(command)
        elif command.epoch != self._epoch and not changes.has_only_events:
            return pb.FleetResult(is_fenced=True, epoch=self._epoch)
        touched = self._record(changes.acts, command.time)
        touched += self._advance(changes.steps, command.time)
        self._note(changes)
        for event in changes.events:
            self.events.add(event)
        return pb.FleetResult(
            epoch=self._epoch, acts=[act_to(act) for act in touched if act]
        )

    def _begin(self, command: pb.FleetCommand) -> None:
        self._epoch += 1
        self._term = command.lead.term
        self._leader = command.lead.leader
        text = f"Leads the fleet in epoch {self._epoch}, term {self._term}."
        self.events.add(Event(command.time, "lead", self._leader, text))

    def _record(self, acts: Iterable[Action], time: float) -> list[Action]:
        recorded = []
        for act in acts:
            if act.id in self.acts or len(self.acts) >= _MAX_ACTS:
                continue
            new = replace(
                act,
                state=ActionState.RECORDED,
                fence=self._next_fence(),
                recorded_at=time,
                changed_at=time,
            )
            self.acts[act.id] = new
            self.events.add(
                Event(time, act.kind, act.subject, _describe(act), act.reason)
            )
            recorded.append(new)
        return recorded

    def _advance(self, steps: Iterable[Step], time: float) -> list[Action]:
        return [self._step(step, time) for step in steps]

    def _step(self, step: Step, time: float) -> Action | None:
        act = self.acts.get(step.id)
        if act is None or act.fence != step.fence or not is_allowed(act, step.state):
            return None
        new = replace(
            act,
            state=step.state,
            host_id=step.host_id or act.host_id,
            changed_at=time,
        )
        if step.state is ActionState.RECORDED:
            new = replace(new, fence=self._next_fence(), repeats=act.repeats + 1)
        if new.is_open or new.is_host:
            self.acts[act.id] = new
        else:
            del self.acts[act.id]
            self.finished.append(new)
        if step.state is not ActionState.SENT:
            text = f"{act.kind} {act.id} is {step.state}."
            self.events.add(
                Event(time, f"{act.kind}_{step.state}", new.subject, text, step.reason)
            )
        return new

    def _note(self, changes: "_Changes") -> None:
        time = changes.command.time
        for notice in changes.notices:
            if notice.id > self.last_notice:
                self.last_notice = notice.id
                self.notices[notice.id] = notice
                text = f"The host is taken back at {notice.at:.0f}."
                self.events.add(Event(time, "reclaim", notice.host_id, text))
        self.handed_notices.update(
            each for each in changes.command.handed_notices if each in self.notices
        )
        for notice in list(self.notices.values()):
            is_old = time > notice.at + _NOTICE_SECONDS
            if is_old and notice.id in self.handed_notices:
                del self.notices[notice.id]
                self.handed_notices.discard(notice.id)
        for mark in changes.marks:
            if mark.key in self.pools or len(self.pools) < _MAX_POOLS:
                pool = self.pools.get(mark.key, Pool())
                self.pools[mark.key] = pool.marked(mark, time)
        if changes.command.HasField("rates"):
            self.costs.set_rates(changes.rates, time)

    def _next_fence(self) -> int:
        self._fence += 1
        return self._fence


class _Changes:
    """A command decoded whole; raise ValueError for values that aren't known."""

    def __init__(self, command: pb.FleetCommand):
        self.command = command
        self.id = command.id
        self.acts = [act_from(act) for act in command.acts]
        self.steps = [step_from(step) for step in command.steps]
        self.notices = [notice_from(notice) for notice in command.notices]
        self.marks = [mark_from(mark) for mark in command.marks]
        self.events = [event_from(event) for event in command.events]
        self.rates = {_key_of(rate): rate.rate for rate in command.rates.rates}

    @property
    def has_only_events(self) -> bool:
        """Whether any host may propose it."""
        fields = {field.name for field, _ in self.command.ListFields()}
        return fields <= {"id", "time", "events"}


def _describe(act: Action) -> str:
    if act.kind is ActionKind.START:
        offer = act.offer
        return (
            f"Start a host for {act.deployment} in {offer.zone}, {offer.machine}, "
            f"{offer.price_class}, {offer.price:g} an hour."
        )
    if act.kind is ActionKind.STOP:
        return f"Stop a host of {act.deployment}."
    key = act.model_key
    detail = act.role or ""
    if key is not None:
        detail = ":".join((key.model, key.adapter, key.version))
    return f"Order {act.kind} {detail}".rstrip() + "."


def _key_of(rate: pb.FleetRate) -> CostKey:
    return CostKey(rate.deployment, PriceClass(rate.price_class))


def _rates_to(costs: CostAccount) -> list[pb.FleetRate]:
    return [
        pb.FleetRate(
            deployment=key.deployment,
            price_class=key.price_class,
            rate=costs.rates.get(key, 0.0),
            total=costs.totals.get(key, 0.0),
        )
        for key in sorted({*costs.rates, *costs.totals})
    ]


def _account_from(state: pb.FleetState) -> CostAccount:
    account = CostAccount()
    account.time = state.rates_time
    for rate in state.rates:
        key = _key_of(rate)
        account.totals[key] = rate.total
        if rate.rate:
            account.rates[key] = rate.rate
    return account
