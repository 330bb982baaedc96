"""Delivery of committed orders to upstreams, in sequence for each upstream.

An order is sent only while the leader's lease outlasts the order's time to live.
An upstream that checks fencing numbers rejects late orders of an earlier leader. For
an upstream that doesn't, a new leader waits until every earlier order has expired,
then reads the upstream's state before it sends anything.
"""

from collections import defaultdict
from collections.abc import Mapping

import trio
from absl import logging

from pepperstep.entities import Upstream
from pepperstep.errors import Failure
from pepperstep.fleet.actions import Action, ActionKind, ActionState, Transition
from pepperstep.fleet.record import FleetRecord
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.ports import Timers
from pepperstep.ports.upstreams import (
    UpstreamClient,
    UpstreamFault,
    UpstreamRefused,
    UpstreamState,
)

__all__ = ["OrderSender"]

_MAX_RETRIES = 5
_READ_TIMEOUT_SECONDS = 2.0


class OrderSender:
    """Sends committed orders to upstreams during one leadership epoch."""

    def __init__(
        self,
        record: FleetRecord,
        client: UpstreamClient,
        timers: Timers,
        tuning: FleetTuning,
    ):
        self._record = record
        self._client = client
        self._timers = timers
        self._tuning = tuning
        self._calls = trio.CapacityLimiter(tuning.order_calls)
        # Name and epoch of upstreams whose state was read in this leadership epoch.
        self._read_back: set[tuple[str, int]] = set()
        # Time of the last order without a definite answer, by upstream.
        self._unconfirmed_at: dict[str, float] = {}

    async def advance(
        self, upstreams: Mapping[str, Upstream], without_fencing: frozenset[str]
    ) -> None:
        """Send, retry or close all open orders as far as possible.

        Upstreams named in `without_fencing` don't check fencing numbers.
        """
        orders: dict[str, list[Action]] = defaultdict(list)
        for action in self._record.machine.open_actions():
            if action.is_order:
                orders[action.upstream].append(action)
        async with trio.open_nursery() as nursery:
            for name, actions in orders.items():
                nursery.start_soon(
                    self._advance_upstream,
                    actions,
                    upstreams.get(name),
                    name in without_fencing,
                )

    async def _advance_upstream(
        self, actions: list[Action], upstream: Upstream | None, lacks_fencing: bool
    ) -> None:
        async with self._calls:
            try:
                await self._advance_in_order(actions, upstream, lacks_fencing)
            except Failure as failure:
                name = actions[0].upstream
                logging.warning(
                    "fleet: Orders to %s are delayed: %s", name, failure.text
                )

    async def _advance_in_order(
        self, actions: list[Action], upstream: Upstream | None, lacks_fencing: bool
    ) -> None:
        stale = [
            action
            for action in actions
            if upstream is None or action.upstream_epoch != upstream.epoch
        ]
        if stale:
            reason = "The upstream's process has ended."
            await self._close(stale, ActionState.UNDONE, reason)
        for action in sorted(actions, key=lambda action: action.fence):
            if action not in stale and not await self._deliver(
                action, upstream, lacks_fencing
            ):
                return

    async def _deliver(
        self, action: Action, upstream: Upstream, lacks_fencing: bool
    ) -> bool:
        """Send or confirm one order; return whether the next one may be sent."""
        if lacks_fencing and not self._are_old_orders_expired(upstream):
            return False
        is_unconfirmed = action.state is ActionState.SENT
        is_unread = (upstream.name, upstream.epoch) not in self._read_back
        if is_unconfirmed or (lacks_fencing and is_unread):
            state = await self._read_state(upstream)
            if state is None or state.epoch != upstream.epoch:
                return False
            if _is_applied(action, state):
                reason = "It was read back as carried out."
                return await self._close([action], ActionState.DONE, reason)
        if is_unconfirmed:
            action = await self._record_retry(action)
        return action is not None and await self._send(action, upstream)

    def _are_old_orders_expired(self, upstream: Upstream) -> bool:
        """Whether no earlier order can still reach the upstream."""
        tuning = self._tuning
        expired_at = self._record.began_at + tuning.old_order_expiry_seconds
        unconfirmed_at = self._unconfirmed_at.get(upstream.name)
        if unconfirmed_at is not None:
            expired_at = max(expired_at, unconfirmed_at + tuning.max_order_delay)
        return self._timers.now() >= expired_at

    async def _read_state(self, upstream: Upstream) -> UpstreamState | None:
        state = None
        with self._timers.move_on_after(_READ_TIMEOUT_SECONDS):
            try:
                state = await self._client.read_state(upstream)
            except UpstreamFault as fault:
                logging.warning(
                    "fleet: Reading the state of %s failed: %s", upstream.name, fault
                )
        if state is not None:
            self._read_back.add((upstream.name, upstream.epoch))
        return state

    async def _record_retry(self, action: Action) -> Action | None:
        """Commit the order under a new fencing number.

        After too many retries, cancel the order and return None.
        """
        if action.repeats >= _MAX_RETRIES:
            reason = f"Sent {action.repeats + 1} times without an answer."
            await self._close([action], ActionState.UNDONE, reason)
            return None
        reason = "It was in doubt and read back as not carried out."
        transitions = [Transition.of(action, ActionState.RECORDED, reason)]
        return next(iter(await self._record.commit(transitions=transitions)), None)

    async def _send(self, action: Action, upstream: Upstream) -> bool:
        """Commit the order as sent, send it, and return whether it was accepted."""
        if not await self._record.commit(
            transitions=[Transition.of(action, ActionState.SENT)]
        ):
            return False
        ttl = self._tuning.order_ttl
        if not await self._record.wait_for_lease(ttl):
            return False
        transition = None
        with self._timers.move_on_after(ttl):
            transition = await self._attempt(action, upstream)
        if transition is None:
            self._unconfirmed_at[upstream.name] = self._timers.now()
            return False
        await self._record.commit(transitions=[transition])
        return transition.state is ActionState.DONE

    async def _attempt(self, action: Action, upstream: Upstream) -> Transition | None:
        """Send the order; return its final transition, None if there is no answer."""
        try:
            await self._client.send_order(upstream, action.to_order())
        except UpstreamRefused as refusal:
            return Transition.of(action, ActionState.REFUSED, str(refusal))
        except UpstreamFault as fault:
            logging.warning(
                "fleet: Order %s has no definite answer: %s", action.id, fault
            )
            return None
        return Transition.of(action, ActionState.DONE)

    async def _close(
        self, actions: list[Action], state: ActionState, reason: str
    ) -> bool:
        transitions = [Transition.of(action, state, reason) for action in actions]
        await self._record.commit(transitions=transitions)
        return True


def _is_applied(action: Action, state: UpstreamState) -> bool:
    if state.last_order == action.id:
        return True
    match action.kind:
        case ActionKind.LOAD:
            return action.model_key in state.models
        case ActionKind.UNLOAD:
            return action.model_key not in state.models
        case ActionKind.SET_ROLE:
            return state.role is action.role
    return state.is_leaving
