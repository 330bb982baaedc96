"""The leader's fleet: hosts rented, models loaded, and the record of it."""

from pepperstep.fleet.acts import Action, ActionKind, ActionState
from pepperstep.fleet.costs import CostAccount, CostKey
from pepperstep.fleet.demand import Demand, Need, needed_replicas
from pepperstep.fleet.events import Event, EventLog
from pepperstep.fleet.fleet import Fleet, FleetPorts
from pepperstep.fleet.history import Pool, PoolKey
from pepperstep.fleet.machine import MACHINE_NAME, FleetStateMachine
from pepperstep.fleet.notices import OnReclaim
from pepperstep.fleet.observer import DemandSource, UpstreamRegistry
from pepperstep.fleet.plan import Decision, StartHost, StopHost, plan_fleet
from pepperstep.fleet.policies import POLICIES
from pepperstep.fleet.record import record_events
from pepperstep.fleet.rollout import EngineView, RolloutView, plan_models
from pepperstep.fleet.tuning import FleetTuning
from pepperstep.fleet.views import DeploymentView, HostView, PoolView

__all__ = [
    "Action",
    "ActionKind",
    "ActionState",
    "CostAccount",
    "CostKey",
    "Decision",
    "Demand",
    "DemandSource",
    "DeploymentView",
    "EngineView",
    "Event",
    "EventLog",
    "Fleet",
    "FleetPorts",
    "FleetTuning",
    "HostView",
    "MACHINE_NAME",
    "Need",
    "OnReclaim",
    "FleetStateMachine",
    "POLICIES",
    "Pool",
    "PoolKey",
    "PoolView",
    "RolloutView",
    "StartHost",
    "StopHost",
    "UpstreamRegistry",
    "needed_replicas",
    "plan_fleet",
    "plan_models",
    "record_events",
]
