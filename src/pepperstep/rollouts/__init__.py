"""Canary roll-outs that move a service's requests to a new version in steps."""

from pepperstep.rollouts.director import RolloutDirector
from pepperstep.rollouts.machine import ROLLOUT_MACHINE, RolloutMachine
from pepperstep.rollouts.observer import RolloutObserver
from pepperstep.rollouts.plan import ExposureBound
from pepperstep.rollouts.records import Rollout, RolloutState
from pepperstep.rollouts.versions import VersionSplit

__all__ = [
    "ROLLOUT_MACHINE",
    "ExposureBound",
    "Rollout",
    "RolloutDirector",
    "RolloutMachine",
    "RolloutObserver",
    "RolloutState",
    "VersionSplit",
]
