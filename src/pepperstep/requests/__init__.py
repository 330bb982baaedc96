"""Requests that survive: acceptance, attempts, takeover and answers."""

from pepperstep.requests.links import LINK_MACHINE, LinkMachine
from pepperstep.requests.mover import MoveSettings, TerminationNotice
from pepperstep.requests.reader import AnswerPart
from pepperstep.requests.recovery import Recovery
from pepperstep.requests.run import Run
from pepperstep.requests.service import RequestService

__all__ = [
    "LINK_MACHINE",
    "LinkMachine",
    "MoveSettings",
    "TerminationNotice",
    "AnswerPart",
    "Recovery",
    "RequestService",
    "Run",
]
