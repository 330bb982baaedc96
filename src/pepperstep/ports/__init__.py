"""What the jobs need from outside, as protocols that adapters implement."""

from pepperstep.ports.agreement import Agreement, Machine
from pepperstep.ports.cloud import (
    Cloud,
    CloudHost,
    HostState,
    Offer,
    PriceClass,
    ReclaimNotice,
    StartRefused,
)
from pepperstep.ports.directory import Directory
from pepperstep.ports.peers import PeerNetwork
from pepperstep.ports.storage import Storage
from pepperstep.ports.timers import Timers
from pepperstep.ports.upstreams import (
    CacheExport,
    EndMark,
    GenerateOrder,
    OrderKind,
    TokenChunk,
    UpstreamClient,
    UpstreamFault,
    UpstreamLost,
    UpstreamOrder,
    UpstreamRefused,
    UpstreamState,
)
from pepperstep.ports.weights import WeightStore

__all__ = [
    "Agreement",
    "CacheExport",
    "Cloud",
    "CloudHost",
    "Directory",
    "EndMark",
    "GenerateOrder",
    "HostState",
    "Offer",
    "Machine",
    "OrderKind",
    "PeerNetwork",
    "PriceClass",
    "ReclaimNotice",
    "StartRefused",
    "Storage",
    "Timers",
    "TokenChunk",
    "UpstreamClient",
    "UpstreamFault",
    "UpstreamLost",
    "UpstreamOrder",
    "UpstreamRefused",
    "UpstreamState",
    "WeightStore",
]
