"""Conversion of the fleet's commands and state to and from protobuf messages."""

from pepperstep.entities import ModelKey, Role
from pepperstep.fleet.actions import Action, ActionKind, ActionState, Transition
from pepperstep.fleet.events import Event
from pepperstep.fleet.history import PoolEvent, PoolEventKind, PoolHistory, PoolKey
from pepperstep.ports.cloud import Offer, PriceClass, ReclaimNotice
from pepperstep.proto import fleet_pb2 as pb

__all__ = [
    "action_from_message",
    "action_to_message",
    "event_from_message",
    "event_to_message",
    "pool_event_from_message",
    "pool_event_to_message",
    "notice_from_message",
    "notice_to_message",
    "pool_from_message",
    "pool_to_message",
    "transition_from_message",
    "transition_to_message",
]


def action_to_message(action: Action) -> pb.FleetAct:
    """Return the action as a message."""
    message = pb.FleetAct(
        id=action.id,
        kind=action.kind,
        state=action.state,
        fence=action.fence,
        deployment=action.deployment,
        reason=action.reason,
        recorded_at=action.recorded_at,
        changed_at=action.changed_at,
        host_id=action.host_id,
        upstream=action.upstream,
        upstream_epoch=action.upstream_epoch,
        role=action.role or "",
        repeats=action.repeats,
    )
    if action.offer is not None:
        message.offer.CopyFrom(_offer_to_message(action.offer))
    if action.model_key is not None:
        key = action.model_key
        message.model.CopyFrom(
            pb.FleetModel(model=key.model, adapter=key.adapter, version=key.version)
        )
    return message


def action_from_message(message: pb.FleetAct) -> Action:
    """Return the action in a message."""
    offer = _offer_from_message(message.offer) if message.HasField("offer") else None
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


def transition_to_message(transition: Transition) -> pb.FleetStep:
    """Return the transition as a message."""
    return pb.FleetStep(
        id=transition.id,
        fence=transition.fence,
        state=transition.state,
        host_id=transition.host_id,
        reason=transition.reason,
    )


def transition_from_message(message: pb.FleetStep) -> Transition:
    """Return the transition in a message."""
    return Transition(
        message.id,
        message.fence,
        ActionState(message.state),
        message.host_id,
        message.reason,
    )


def notice_to_message(notice: ReclaimNotice, is_handed: bool = False) -> pb.FleetNotice:
    """Return the notice as a message."""
    return pb.FleetNotice(
        id=notice.id, host_id=notice.host_id, at=notice.at, is_handed=is_handed
    )


def notice_from_message(message: pb.FleetNotice) -> ReclaimNotice:
    """Return the notice in a message."""
    return ReclaimNotice(message.id, message.host_id, message.at)


def pool_event_to_message(event: PoolEvent) -> pb.FleetMark:
    """Return the pool event as a message."""
    return pb.FleetMark(
        zone=event.key.zone,
        machine=event.key.machine,
        price_class=event.key.price_class,
        kind=event.kind,
        blocked_until=event.blocked_until,
    )


def pool_event_from_message(message: pb.FleetMark) -> PoolEvent:
    """Return the pool event in a message."""
    return PoolEvent(
        _pool_key_from_message(message),
        PoolEventKind(message.kind),
        message.blocked_until,
    )


def pool_to_message(key: PoolKey, pool: PoolHistory) -> pb.FleetPool:
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


def pool_from_message(message: pb.FleetPool) -> tuple[PoolKey, PoolHistory]:
    """Return the key and history of the pool in a message."""
    pool = PoolHistory(
        tuple(message.reclaims),
        tuple(message.refusals),
        message.refusals_in_row,
        message.blocked_until,
    )
    return _pool_key_from_message(message), pool


def event_to_message(event: Event) -> pb.FleetEvent:
    """Return the event as a message."""
    return pb.FleetEvent(
        sequence=event.sequence,
        time=event.time,
        kind=event.kind,
        subject=event.subject,
        text=event.text,
        reason=event.reason,
    )


def event_from_message(message: pb.FleetEvent) -> Event:
    """Return the event in a message."""
    return Event(
        message.time,
        message.kind,
        message.subject,
        message.text,
        message.reason,
        message.sequence,
    )


def _offer_to_message(offer: Offer) -> pb.FleetOffer:
    return pb.FleetOffer(
        zone=offer.zone,
        machine=offer.machine,
        price_class=offer.price_class,
        price=offer.price,
    )


def _offer_from_message(message: pb.FleetOffer) -> Offer:
    return Offer(
        message.zone,
        message.machine,
        PriceClass(message.price_class),
        message.price,
    )


def _pool_key_from_message(message: pb.FleetMark | pb.FleetPool) -> PoolKey:
    return PoolKey(message.zone, message.machine, PriceClass(message.price_class))
