"""State that all hosts share: route tables, upstreams, entry hosts and usage."""

from pepperstep.coordination.autoscaler import Autoscaler
from pepperstep.coordination.directory import Directory
from pepperstep.coordination.entry_host_catalog import EntryHostCatalog
from pepperstep.coordination.host_share import HostShare
from pepperstep.coordination.leader_lease import LeaderLease
from pepperstep.coordination.records import (
    Announcement,
    EntryReport,
    ServiceWork,
    StatedLimit,
    StreamOrigin,
    UpstreamKey,
)
from pepperstep.coordination.suspects import SuspectFeatures
from pepperstep.coordination.sync_client import SyncClient, SyncSettings
from pepperstep.coordination.sync_server import SyncServer
from pepperstep.coordination.tables import (
    TABLE_MACHINE,
    TableMachine,
    TableStore,
    propose_table,
)
from pepperstep.coordination.upstream_catalog import UpstreamCatalog
from pepperstep.coordination.usage import USAGE_MACHINE, UsageMachine, UsageReporter

__all__ = [
    "TABLE_MACHINE",
    "USAGE_MACHINE",
    "Announcement",
    "SyncServer",
    "Directory",
    "LeaderLease",
    "EntryHostCatalog",
    "EntryReport",
    "HostShare",
    "Autoscaler",
    "ServiceWork",
    "StatedLimit",
    "StreamOrigin",
    "SuspectFeatures",
    "SyncClient",
    "SyncSettings",
    "TableMachine",
    "TableStore",
    "UpstreamCatalog",
    "UpstreamKey",
    "UsageMachine",
    "UsageReporter",
    "propose_table",
]
