"""Acts of the fleet: hosts started and stopped, orders to upstreams."""

import enum
from dataclasses import dataclass

from pepperstep.entities import ModelKey, Role
from pepperstep.ports.cloud import Offer
from pepperstep.ports.upstreams import OrderKind, UpstreamOrder

__all__ = ["Action", "ActionKind", "ActionState", "Step", "is_allowed"]


class ActionKind(enum.StrEnum):
    """What an act does; orders have the names of `OrderKind`."""

    START = "start"
    STOP = "stop"
    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"
    DRAIN = "drain"


class ActionState(enum.StrEnum):
    """How far an act is."""

    # Committed, and surely not sent.
    RECORDED = "recorded"
    # It may have been sent.
    SENT = "sent"
    DONE = "done"
    UNDONE = "undone"
    REFUSED = "refused"
    # The host of a start that was done is gone.
    ENDED = "ended"


_OPEN = frozenset({ActionState.RECORDED, ActionState.SENT})
_CLOSING = frozenset({ActionState.DONE, ActionState.UNDONE, ActionState.REFUSED})


@dataclass(frozen=True, slots=True, kw_only=True)
class Action:
    """One act as the control hosts agreed on it; times are Unix times."""

    # Token of a start, id of an order.
    id: str
    kind: ActionKind
    state: ActionState = ActionState.RECORDED
    # Handed out by the log, and higher than that of each earlier act.
    fence: int = 0
    deployment: str = ""
    reason: str = ""
    recorded_at: float = 0.0
    changed_at: float = 0.0
    # Of starts.
    offer: Offer | None = None
    # Of stops, and of starts that are done.
    host_id: str = ""
    # Of orders.
    upstream: str = ""
    upstream_epoch: int = 0
    model_key: ModelKey | None = None
    role: Role | None = None
    # How often it was recorded again with a new fencing number.
    repeats: int = 0

    @property
    def is_open(self) -> bool:
        """Whether it's neither done nor given up."""
        return self.state in _OPEN

    @property
    def is_host(self) -> bool:
        """Whether it's a start whose host may live."""
        return self.kind is ActionKind.START and (
            self.is_open or self.state is ActionState.DONE
        )

    @property
    def is_order(self) -> bool:
        """Whether it goes to an upstream."""
        return self.kind not in (ActionKind.START, ActionKind.STOP)

    @property
    def subject(self) -> str:
        """Upstream, host or token that it concerns."""
        return self.upstream or self.host_id or self.id

    def to_order(self) -> UpstreamOrder:
        """Return the message to the upstream."""
        return UpstreamOrder(
            self.id, OrderKind(self.kind), self.fence, self.model_key, self.role
        )


@dataclass(frozen=True, slots=True)
class Step:
    """A new state of the act that has this id and fencing number."""

    id: str
    fence: int
    state: ActionState
    host_id: str = ""
    reason: str = ""

    @classmethod
    def of(
        cls, act: Action, state: ActionState, reason: str = "", host_id: str = ""
    ) -> "Step":
        """Return the step of `act` to `state`."""
        return cls(act.id, act.fence, state, host_id, reason)


def is_allowed(act: Action, state: ActionState) -> bool:
    """Whether the act may go to `state`; to RECORDED means a new number."""
    match act.state:
        case ActionState.RECORDED:
            return state in _CLOSING or state is ActionState.SENT
        case ActionState.SENT:
            return state in _CLOSING or state is ActionState.RECORDED
        case ActionState.DONE:
            return act.kind is ActionKind.START and state is ActionState.ENDED
    return False
