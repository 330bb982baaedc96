"""Protocols for clocks, storage, networks and other external services.

`pepperstep.adapters` implements them. The package imports only the protocols that all
programs use, to keep the start of a host short.
"""

from pepperstep.ports.agreement import Agreement, Machine
from pepperstep.ports.peers import PeerNetwork
from pepperstep.ports.storage import Storage
from pepperstep.ports.timers import Timers

__all__ = ["Agreement", "Machine", "PeerNetwork", "Storage", "Timers"]
