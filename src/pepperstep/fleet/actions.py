"""Actions of the fleet: starts and stops of hosts, orders to upstreams."""

import enum
from dataclasses import dataclass

from pepperstep.entities import ModelKey, Role
from pepperstep.ports.cloud import Offer
from pepperstep.ports.upstreams import OrderKind, UpstreamOrder

__all__ = ["Action", "ActionKind", "ActionState", "Transition", "is_allowed"]


class ActionKind(enum.StrEnum):
    """Kind of an action; kinds of orders have the values of `OrderKind`."""

    START = "start"
    STOP = "stop"
    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"
    DRAIN = "drain"


class ActionState(enum.StrEnum):
    """Progress of an action."""

    # Committed, and not sent under its fencing number.
    RECORDED = "recorded"
    # Possibly sent: committed as sent before the call is made.
    SENT = "sent"
    DONE = "done"
    UNDONE = "undone"
    REFUSED = "refused"
    # A completed start whose host has stopped.
    ENDED = "ended"


_OPEN = frozenset({ActionState.RECORDED, ActionState.SENT})
_CLOSED = frozenset({ActionState.DONE, ActionState.UNDONE, ActionState.REFUSED})


@dataclass(frozen=True, slots=True, kw_only=True)
class Action:
    """A replicated action; times are Unix times."""

    # For starts, the token that identifies the host to the cloud.
    id: str
    kind: ActionKind
    state: ActionState = ActionState.RECORDED
    # Fencing number, higher than that of every earlier action.
    fence: int = 0
    deployment: str = ""
    reason: str = ""
    recorded_at: float = 0.0
    changed_at: float = 0.0
    # Set for starts.
    offer: Offer | None = None
    # Set for stops and completed starts.
    host_id: str = ""
    # Set for orders, with the epoch of the upstream's process.
    upstream: str = ""
    upstream_epoch: int = 0
    model_key: ModelKey | None = None
    role: Role | None = None
    # Number of times the order was committed again under a new fencing number.
    repeats: int = 0

    @property
    def is_open(self) -> bool:
        """Whether the action is neither completed, cancelled nor refused."""
        return self.state in _OPEN

    @property
    def is_live_start(self) -> bool:
        """Whether the action is a start whose host may be running."""
        return self.kind is ActionKind.START and (
            self.is_open or self.state is ActionState.DONE
        )

    @property
    def is_order(self) -> bool:
        """Whether the action is an order to an upstream."""
        return self.kind not in (ActionKind.START, ActionKind.STOP)

    @property
    def subject(self) -> str:
        """Upstream, host or token that the action applies to."""
        return self.upstream or self.host_id or self.id

    def to_order(self) -> UpstreamOrder:
        """Return the action as a message to its upstream."""
        return UpstreamOrder(
            self.id, OrderKind(self.kind), self.fence, self.model_key, self.role
        )


@dataclass(frozen=True, slots=True)
class Transition:
    """A new state for the action with this id and fencing number."""

    id: str
    fence: int
    state: ActionState
    host_id: str = ""
    reason: str = ""

    @classmethod
    def of(
        cls, action: Action, state: ActionState, reason: str = "", host_id: str = ""
    ) -> "Transition":
        """Return the transition of `action` to `state`."""
        return cls(action.id, action.fence, state, host_id, reason)


def is_allowed(action: Action, state: ActionState) -> bool:
    """Whether the action may change to `state`.

    A change from SENT to RECORDED is a retry under a new fencing number.
    """
    match action.state:
        case ActionState.RECORDED:
            return state in _CLOSED or state is ActionState.SENT
        case ActionState.SENT:
            return state in _CLOSED or state is ActionState.RECORDED
        case ActionState.DONE:
            return action.kind is ActionKind.START and state is ActionState.ENDED
    return False
