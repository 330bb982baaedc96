"""External services that a relaying host depends on."""

import random
from dataclasses import dataclass

from pepperstep.coordination.tables import Decoder
from pepperstep.ports import PeerNetwork, Storage, Timers
from pepperstep.ports.exchange import UpstreamConnector
from pepperstep.ports.orders import UpstreamOrders
from pepperstep.ports.relaying import RelayWire
from pepperstep.ports.usage import UsageLedger

__all__ = ["RelayPorts"]


@dataclass(frozen=True, slots=True)
class RelayPorts:
    """External services of a host.

    Only control hosts use `storage`, `ledger` and `orders`.
    """

    timers: Timers
    peers: PeerNetwork
    rng: random.Random
    decode: Decoder
    connector: UpstreamConnector
    wire: RelayWire
    storage: Storage | None = None
    ledger: UsageLedger | None = None
    orders: UpstreamOrders | None = None
