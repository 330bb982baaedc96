"""The control host's part in roll-outs: orders, evidence and the next step."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from absl import logging

from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.records import Announcement
from pepperstep.coordination.scaling import required_upstreams
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import RolloutMoved
from pepperstep.ports import Agreement, PeerNetwork, Timers
from pepperstep.proto import rollouts_pb2 as pb
from pepperstep.rollouts.evaluation import Verdict, judge
from pepperstep.rollouts.machine import ROLLOUT_MACHINE, RolloutMachine
from pepperstep.rollouts.outcomes import Outcomes
from pepperstep.rollouts.plan import ExposureBound, Move, Situation, next_move
from pepperstep.rollouts.records import Rollout, RolloutState

__all__ = ["RolloutDirector"]

_POLL_SECONDS = 0.1
_PROPOSE_SECONDS = 0.9
_READ_SECONDS = 0.8
# Shortest time that requests are counted over for their rate, in seconds.
_RATE_SECONDS = 0.5
# Time until a new leader has heard of all entry hosts, in seconds.
_LEARN_SECONDS = 1.0
# Time after which what an entry host told is left out of what's under way, in seconds.
_SILENCE_SECONDS = 2.0


@dataclass(slots=True)
class _Evidence:
    """What entry hosts told of one roll-out."""

    number: int
    # By host and incarnation, with the time of the latest word.
    hosts: dict[tuple[str, int], tuple[float, Outcomes]] = field(default_factory=dict)
    # Outcomes when the share last changed.
    before: Outcomes = field(default_factory=Outcomes)
    changed_at: float = 0.0


class RolloutDirector:
    """Takes orders on any control host, and moves roll-outs on where it leads."""

    def __init__(
        self,
        agreement: Agreement,
        machine: RolloutMachine,
        catalog: UpstreamCatalog,
        entries: EntryHostCatalog,
        peers: PeerNetwork,
        timers: Timers,
        wall: Callable[[], float],
        resend_seconds: float,
        bound: ExposureBound,
    ):
        self._agreement = agreement
        self._machine = machine
        self._catalog = catalog
        self._entries = entries
        self._timers = timers
        self._wall = wall
        self._resend_seconds = resend_seconds
        self._bound = bound
        self._evidence: dict[str, _Evidence] = {}
        self._led_since: float | None = None
        self._subscribers: list[Callable[[Rollout], None]] = []
        machine.on_change = self._note_change
        peers.handle(pb.RolloutEvidence, self._on_evidence)

    @property
    def index(self) -> int:
        """Position in the log of the latest change."""
        return self._machine.index

    def messages(self) -> list[pb.RolloutRecord]:
        """Return the latest roll-out of each service."""
        return [each.to_message() for each in self._machine.known()]

    def expect(self, messages: Iterable[pb.RolloutRecord]) -> None:
        """Take in what `messages` gave before this host's start."""
        self._machine.expect(map(Rollout.from_message, messages))

    def judge(self) -> str:
        """Return the control host that judges, "" while no roll-out runs."""
        return self._agreement.leader if self._machine.running() else ""

    def subscribe(self, subscriber: Callable[[Rollout], None]) -> None:
        """Call `subscriber` with each roll-out that has changed."""
        self._subscribers.append(subscriber)

    def is_trial(self, upstream: Announcement) -> bool:
        """Whether an upstream is there for a running roll-out only."""
        rollout = self._machine.get(upstream.service)
        if rollout is None or not rollout.is_running:
            return False
        return upstream.software == rollout.to

    async def read(self, service: str) -> Rollout:
        """Return a service's latest roll-out as all control hosts agree on it.

        Raise `Failure` with `UNKNOWN_NAME` for none, and with `NO_QUORUM`.
        """
        await self._agreement.barrier(_READ_SECONDS)
        rollout = self._machine.get(service)
        if rollout is None:
            raise Failure(Code.UNKNOWN_NAME, f"{service} had no roll-out.")
        return rollout

    async def start(self, service: str, to: str, duration: float) -> None:
        """Return once a roll-out is agreed on, or known as an order sent again.

        Raise `Failure` with `REVISION_CONFLICT` while another version is rolled out,
        and with `NO_QUORUM` where the order's fate isn't known.
        """
        start = pb.RolloutStart(
            service=service,
            to=to,
            duration=duration,
            at=self._wall(),
            resend_seconds=self._resend_seconds,
        )
        answer = await self._propose(pb.RolloutCommand(start=start))
        if answer.is_refused:
            text = f"{service} is being moved to {answer.record.to}."
            raise Failure(Code.REVISION_CONFLICT, text)
        logging.info("rollouts: Acknowledges %s to %s.", service, to)

    async def run(self) -> None:
        """Move roll-outs on while this host leads, until cancelled."""
        async for now in self._timers.subscribe(_POLL_SECONDS):
            if not self._agreement.is_leader:
                self._led_since = None
                continue
            if self._led_since is None:
                self._led_since = now
            running = self._machine.running()
            for service in self._evidence.keys() - {each.service for each in running}:
                del self._evidence[service]
            for rollout in running:
                await self._keep(rollout)

    async def _keep(self, rollout: Rollout) -> None:
        evidence = self._evidence_of(rollout.service, rollout.number)
        outcomes = Outcomes.sum_of(outcomes for _, outcomes in evidence.hosts.values())
        if evidence.changed_at != rollout.changed_at:
            evidence.changed_at = rollout.changed_at
            evidence.before = outcomes
        situation = self._situation(rollout, evidence, outcomes)
        move = next_move(rollout, situation, self._bound)
        if move is not None:
            await self._move(rollout, move, situation)

    def _situation(
        self, rollout: Rollout, evidence: _Evidence, outcomes: Outcomes
    ) -> Situation:
        now = self._wall()
        ended = outcomes.of_new().total
        seconds = max(now - rollout.started_at, _RATE_SECONDS)
        working = self._catalog.working(rollout.service)
        new_count = sum(each.software == rollout.to for each in working)
        limit = self._timers.now() - _SILENCE_SECONDS
        in_flight = sum(
            part.in_flight for at, part in evidence.hosts.values() if at >= limit
        )
        has_listened = self._timers.now() - self._led_since >= _LEARN_SECONDS
        return Situation(
            now=now,
            new_count=new_count,
            old_count=len(working) - new_count,
            needed=required_upstreams(self._entries.work_of(rollout.service)),
            verdict=judge(outcomes, evidence.before) if ended else Verdict(False),
            rate=(ended + outcomes.of_old().total) / seconds,
            outcomes=ended,
            outcomes_before=evidence.before.of_new().total,
            in_flight=in_flight,
            is_informed=has_listened and self._hears_all(evidence, limit),
        )

    def _hears_all(self, evidence: _Evidence, limit: float) -> bool:
        """Whether most entry hosts' outcomes are known as they are now."""
        heard = sum(at >= limit for at, _ in evidence.hosts.values())
        return 2 * heard > self._entries.count

    async def _move(self, rollout: Rollout, move: Move, situation: Situation) -> None:
        replaced: tuple[str, ...] = ()
        if move.state is RolloutState.SUCCEEDED:
            replaced = self._other_versions(rollout)
        message = pb.RolloutMove(
            service=rollout.service,
            number=rollout.number,
            state=move.state,
            share=move.share,
            at=self._wall(),
            reason=move.reason,
            replaced=replaced,
            step=move.step,
        )
        try:
            await self._propose(pb.RolloutCommand(move=message))
        except Failure as failure:
            logging.info(
                "rollouts: A step of %s isn't agreed on: %s",
                rollout.service,
                failure.text,
            )
            return
        event = RolloutMoved(
            rollout.service,
            rollout.to,
            str(move.state),
            move.share,
            round(situation.now - rollout.started_at, 1),
            situation.outcomes,
            situation.new_count,
            situation.old_count,
            move.reason,
        )
        logging.info("rollouts: %s", event)

    def _other_versions(self, rollout: Rollout) -> tuple[str, ...]:
        versions = {
            each.software
            for each in self._catalog.all()
            if each.service == rollout.service
        }
        return tuple(sorted(versions - {rollout.to}))

    def _evidence_of(self, service: str, number: int) -> _Evidence:
        held = self._evidence.get(service)
        if held is None or held.number < number:
            held = self._evidence[service] = _Evidence(number)
        return held

    async def _on_evidence(
        self, message: pb.RolloutEvidence, sender: str
    ) -> pb.RolloutEvidenceReply:
        rollout = self._machine.get(message.service)
        is_known = rollout is not None and rollout.number == message.number
        if not self._agreement.is_leader or not is_known or not rollout.is_running:
            return pb.RolloutEvidenceReply(is_judge=False)
        evidence = self._evidence_of(message.service, message.number)
        outcomes = Outcomes.from_message(message)
        key = (message.host, message.incarnation)
        evidence.hosts[key] = (self._timers.now(), outcomes)
        return pb.RolloutEvidenceReply(is_judge=True)

    def _note_change(self, rollout: Rollout) -> None:
        for subscriber in self._subscribers:
            subscriber(rollout)

    async def _propose(self, command: pb.RolloutCommand) -> pb.RolloutAnswer:
        data = await self._agreement.propose(
            ROLLOUT_MACHINE, command.SerializeToString(), _PROPOSE_SECONDS
        )
        return pb.RolloutAnswer.FromString(data)
