"""Gives the recorded orders to upstreams, one after another to each.

An order goes out only under the leader's lease, which outlasts the order's
time to live. An upstream that checks fencing numbers refuses what an earlier
leader's order may still bring. For one that ignores them, a new leader waits
until no earlier order can be under way any more, and reads its state back.
"""

from collections import defaultdict
from collections.abc import Mapping

import trio
from absl import logging

from pepperstep.entities import Upstream
from pepperstep.errors import Failure
from pepperstep.fleet.acts import Action, ActionKind, ActionState, Step
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

_MAX_REPEATS = 5
_READ_SECONDS = 2.0


class OrderSender:
    """Sends the orders of one epoch."""

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
        # Upstreams whose state was read back in this epoch.
        self._read: set[tuple[str, int]] = set()
        # When an order to an upstream was last given up in doubt.
        self._doubted_at: dict[str, float] = {}

    async def advance(
        self, upstreams: Mapping[str, Upstream], ignoring: frozenset[str]
    ) -> None:
        """Bring all open orders as far as it goes now.

        Upstreams named in `ignoring` don't check fencing numbers.
        """
        orders: dict[str, list[Action]] = defaultdict(list)
        for act in self._record.machine.open_actions():
            if act.is_order:
                orders[act.upstream].append(act)
        async with trio.open_nursery() as nursery:
            for name, acts in orders.items():
                nursery.start_soon(
                    self._advance_one, acts, upstreams.get(name), name in ignoring
                )

    async def _advance_one(
        self, acts: list[Action], upstream: Upstream | None, is_ignoring: bool
    ) -> None:
        async with self._calls:
            try:
                await self._advance_all(acts, upstream, is_ignoring)
            except Failure as failure:
                name = acts[0].upstream
                logging.warning("fleet: Orders to %s wait: %s", name, failure.text)

    async def _advance_all(
        self, acts: list[Action], upstream: Upstream | None, is_ignoring: bool
    ) -> None:
        gone = [
            act
            for act in acts
            if upstream is None or act.upstream_epoch != upstream.epoch
        ]
        if gone:
            reason = "The upstream's process has ended."
            await self._finish(gone, ActionState.UNDONE, reason)
        for act in sorted(acts, key=lambda act: act.fence):
            if act not in gone and not await self._give(act, upstream, is_ignoring):
                return

    async def _give(self, act: Action, upstream: Upstream, is_ignoring: bool) -> bool:
        """Return whether the next order may follow now."""
        if is_ignoring and not self._is_quiet(upstream):
            return False
        is_doubtful = act.state is ActionState.SENT
        is_unknown = (upstream.name, upstream.epoch) not in self._read
        if is_doubtful or (is_ignoring and is_unknown):
            state = await self._read_state(upstream)
            if state is None or state.epoch != upstream.epoch:
                return False
            if _is_carried_out(act, state):
                reason = "It was read back as carried out."
                return await self._finish([act], ActionState.DONE, reason)
        if is_doubtful:
            act = await self._repeat(act)
        return act is not None and await self._send(act, upstream)

    def _is_quiet(self, upstream: Upstream) -> bool:
        """Whether no earlier order can be under way to the upstream."""
        tuning = self._tuning
        quiet_at = self._record.began_at + tuning.quiet_seconds
        doubted_at = self._doubted_at.get(upstream.name)
        if doubted_at is not None:
            quiet_at = max(quiet_at, doubted_at + tuning.order_under_way)
        return self._timers.now() >= quiet_at

    async def _read_state(self, upstream: Upstream) -> UpstreamState | None:
        state = None
        with self._timers.move_on_after(_READ_SECONDS):
            try:
                state = await self._client.read_state(upstream)
            except UpstreamFault as fault:
                logging.warning("fleet: No state of %s: %s", upstream.name, fault)
        if state is not None:
            self._read.add((upstream.name, upstream.epoch))
        return state

    async def _repeat(self, act: Action) -> Action | None:
        """Record the order again with a new number, None if often enough."""
        if act.repeats >= _MAX_REPEATS:
            reason = f"Sent {act.repeats + 1} times without an answer."
            await self._finish([act], ActionState.UNDONE, reason)
            return None
        reason = "It was in doubt and read back as not carried out."
        steps = [Step.of(act, ActionState.RECORDED, reason)]
        return next(iter(await self._record.commit(steps=steps)), None)

    async def _send(self, act: Action, upstream: Upstream) -> bool:
        """Send an order; return whether it was accepted."""
        if not await self._record.commit(steps=[Step.of(act, ActionState.SENT)]):
            return False
        ttl = self._tuning.order_ttl
        if not await self._record.wait_lease(ttl):
            return False
        step = None
        with self._timers.move_on_after(ttl):
            step = await self._attempt(act, upstream)
        if step is None:
            self._doubted_at[upstream.name] = self._timers.now()
            return False
        await self._record.commit(steps=[step])
        return step.state is ActionState.DONE

    async def _attempt(self, act: Action, upstream: Upstream) -> Step | None:
        """Return the order's end, None if it's in doubt."""
        try:
            await self._client.send_order(upstream, act.to_order())
        except UpstreamRefused as refusal:
            return Step.of(act, ActionState.REFUSED, str(refusal))
        except UpstreamFault as fault:
            logging.warning("fleet: Order %s is in doubt: %s", act.id, fault)
            return None
        return Step.of(act, ActionState.DONE)

    async def _finish(
        self, acts: list[Action], state: ActionState, reason: str
    ) -> bool:
        steps = [Step.of(act, state, reason) for act in acts]
        await self._record.commit(steps=steps)
        return True


def _is_carried_out(act: Action, state: UpstreamState) -> bool:
    if state.last_order == act.id:
        return True
    match act.kind:
        case ActionKind.LOAD:
            return act.model_key in state.models
        case ActionKind.UNLOAD:
            return act.model_key not in state.models
        case ActionKind.SET_ROLE:
            return state.role is act.role
    return state.is_leaving
