"""Runs accepted requests to an outcome, across failures of hosts and upstreams.

The entry host that accepts a request owns it and replicates its state over a link to
one backup host, called `second` in the messages between hosts. If the owner fails, the
replicated log decides whether the backup takes over the requests of that link. Clients
read only tokens and outcomes that the backup has acknowledged.
"""

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
