"""Commands and state of the fleet as messages, and back."""

from pepperstep.entities import ModelKey, Role
from pepperstep.fleet.acts import Action, ActionKind, ActionState, Step
from pepperstep.fleet.events import Event
from pepperstep.fleet.history import Mark, MarkKind, Pool, PoolKey
from pepperstep.ports.cloud import Offer, PriceClass, ReclaimNotice
from pepperstep.proto import fleet_pb2 as pb

__all__ = [
    "act_from",
    "act_to",
    "event_from",
    "event_to",
    "mark_from",
    "mark_to",
    "notice_from",
    "notice_to",
    "pool_from",
    "pool_to",
    "step_from",
    "step_to",
]


def act_to(act: Action) -> pb.FleetAct:
    """Return the act as a message."""
    message = pb.FleetAct(
        id=act.id,
        kind=act.kind,
        state=act.state,
        fence=act.fence,
        deployment=act.deployment,
        reason=act.reason,
        recorded_at=act.recorded_at,
        changed_at=act.changed_at,
        host_id=act.host_id,
        upstream=act.upstream,
        upstream_epoch=act.upstream_epoch,
        role=act.role or "",
        repeats=act.repeats,
    )
    if act.offer is not None:
        message.offer.CopyFrom(_offer_to(act.offer))
    if act.model_key is not None:
        key = act.model_key
        message.model.CopyFrom(
            pb.FleetModel(model=key.model, adapter=key.adapter, version=key.version)
        )
    return message


def act_from(message: pb.FleetAct) -> Action:
    """Return the act in a message."""
    offer = _offer_from(message.offer) if message.HasField("offer") else None
    key = None
    if message.HasField("model"):
        found = message.model
        key = ModelKey(found.model, found.adapter, found.version)
    return Action(
        id=message.id,
        kind=ActionKind(message.kind),
        state=ActionState(message.state),
        fence=message.fence,
        deployment=message.deployment,
        reason=message.reason,
        recorded_at=message.recorded_at,
        changed_at=message.changed_at,
        offer=offer,
        host_id=message.host_id,
        upstream=message.upstream,
        upstream_epoch=message.upstream_epoch,
        model_key=key,
        role=Role(message.role) if message.role else None,
        repeats=message.repeats,
    )


def step_to(step: Step) -> pb.FleetStep:
    """Return the step as a message."""
    return pb.FleetStep(
        id=step.id,
        fence=step.fence,
        state=step.state,
        host_id=step.host_id,
        reason=step.reason,
    )


def step_from(message: pb.FleetStep) -> Step:
    """Return the step in a message."""
    return Step(
        message.id,
        message.fence,
        ActionState(message.state),
        message.host_id,
        message.reason,
    )


def notice_to(notice: ReclaimNotice, is_handed: bool = False) -> pb.FleetNotice:
    """Return the notice as a message."""
    return pb.FleetNotice(
        id=notice.id, host_id=notice.host_id, at=notice.at, is_handed=is_handed
    )


def notice_from(message: pb.FleetNotice) -> ReclaimNotice:
    """Return the notice in a message."""
    return ReclaimNotice(message.id, message.host_id, message.at)


def mark_to(mark: Mark) -> pb.FleetMark:
    """Return the mark as a message."""
    return pb.FleetMark(
        zone=mark.key.zone,
        machine=mark.key.machine,
        price_class=mark.key.price_class,
        kind=mark.kind,
        blocked_until=mark.blocked_until,
    )


def mark_from(message: pb.FleetMark) -> Mark:
    """Return the mark in a message."""
    return Mark(_key_from(message), MarkKind(message.kind), message.blocked_until)


def pool_to(key: PoolKey, pool: Pool) -> pb.FleetPool:
    """Return a pool's history as a message."""
    return pb.FleetPool(
        zone=key.zone,
        machine=key.machine,
        price_class=key.price_class,
        reclaims=pool.reclaims,
        refusals=pool.refusals,
        refusals_in_row=pool.refusals_in_row,
        blocked_until=pool.blocked_until,
    )


def pool_from(message: pb.FleetPool) -> tuple[PoolKey, Pool]:
    """Return the pool in a message."""
    pool = Pool(
        tuple(message.reclaims),
        tuple(message.refusals),
        message.refusals_in_row,
        message.blocked_until,
    )
    return _key_from(message), pool


def event_to(event: Event) -> pb.FleetEvent:
    """Return the event as a message."""
    return pb.FleetEvent(
        sequence=event.sequence,
        time=event.time,
        kind=event.kind,
        subject=event.subject,
        text=event.text,
        reason=event.reason,
    )


def event_from(message: pb.FleetEvent) -> Event:
    """Return the event in a message."""
    return Event(
        message.time,
        message.kind,
        message.subject,
        message.text,
        message.reason,
        message.sequence,
    )


def _offer_to(offer: Offer) -> pb.FleetOffer:
    return pb.FleetOffer(
        zone=offer.zone,
        machine=offer.machine,
        price_class=offer.price_class,
        price=offer.price,
    )


def _offer_from(message: pb.FleetOffer) -> Offer:
    return Offer(
        message.zone,
        message.machine,
        PriceClass(message.price_class),
        message.price,
    )


def _key_from(message: pb.FleetMark | pb.FleetPool) -> PoolKey:
    return PoolKey(message.zone, message.machine, PriceClass(message.price_class))
