"""Assembly of a control host, which holds a replica of the agreed state."""

import trio
from absl import logging

from pepperstep.consensus import Consensus
from pepperstep.coordination import (
    TABLE_MACHINE,
    USAGE_MACHINE,
    Announcement,
    Autoscaler,
    EntryHostCatalog,
    LeaderLease,
    SuspectFeatures,
    SyncClient,
    SyncServer,
    TableMachine,
    TableStore,
    UpstreamCatalog,
    UsageMachine,
    UsageReporter,
    propose_table,
)
from pepperstep.coordination.departures import Departures
from pepperstep.coordination.entry_host_progress import EntryHostProgress
from pepperstep.coordination.hints import Hints
from pepperstep.coordination.quorum_monitor import QuorumMonitor
from pepperstep.coordination.silence import SilenceDetector
from pepperstep.coordination.table_updates import Document
from pepperstep.errors import Code, Failure
from pepperstep.observability.relay_metrics import RelayMetrics
from pepperstep.programs.relay_ports import RelayPorts
from pepperstep.programs.relay_settings import RelaySettings
from pepperstep.rollouts import (
    ROLLOUT_MACHINE,
    ExposureBound,
    Rollout,
    RolloutDirector,
    RolloutMachine,
)

__all__ = ["ControlHost"]

# Operators and upstreams try another host after one second without an answer, so both
# timeouts are shorter.
_PROPOSE_SECONDS = 0.9
_READ_SECONDS = 0.8
# Maximum delay in seconds of an order that is sent again.
_RESEND_MARGIN_SECONDS = 2.0
# Seconds for which a silent upstream stays known, so that late reports about it don't
# count as news. With 10,000 upstreams and 1% of them crashing per hour, 17 silent
# upstreams are kept.
_FORGET_SECONDS = 600.0
_CLEAN_UP_SECONDS = 1.0


class ControlHost:
    """Replicates the agreed state and serves operators, upstreams and callers."""

    def __init__(self, settings: RelaySettings, ports: RelayPorts):
        self._settings = settings
        self._timers = ports.timers
        self._peer_name = settings.peer_address
        control = settings.control
        is_first = control.forms_group and self._peer_name in settings.seeds
        self.agreement = Consensus.from_config(
            name=self._peer_name,
            voters=settings.seeds if is_first else (),
            storage=ports.storage,
            peers=ports.peers,
            timers=ports.timers,
            rng=ports.rng,
            seed_hosts=tuple(
                seed for seed in settings.seeds if seed != self._peer_name
            ),
            target_voter_count=2 * control.tolerated_losses + 1,
        )
        self.tables = TableStore(ports.decode)
        self.machine = TableMachine(self.tables.install)
        self.metrics = RelayMetrics()
        self._usage_machine = UsageMachine()
        self.agreement.register(TABLE_MACHINE, self.machine)
        self._rollout_machine = RolloutMachine()
        self.agreement.register(USAGE_MACHINE, self._usage_machine)
        self.agreement.register(ROLLOUT_MACHINE, self._rollout_machine)
        self.catalog = UpstreamCatalog(ports.timers.now, self._peer_name)
        self.entries = EntryHostCatalog(ports.timers.now)
        self._suspects = SuspectFeatures(ports.timers.now)
        self.sync = SyncClient(
            self._peer_name,
            settings.seeds,
            ports.peers,
            ports.timers,
            self.tables,
            self.catalog,
            self._suspects,
        )
        self._contact = QuorumMonitor(
            self._peer_name,
            self.agreement.voters,
            lambda: self.sync.reached,
            ports.timers.now,
        )
        self.rollouts = RolloutDirector(
            self.agreement,
            self._rollout_machine,
            self.catalog,
            self.entries,
            ports.peers,
            ports.timers,
            lambda: self.sync.median_time,
            settings.bounds.order_seconds + _RESEND_MARGIN_SECONDS,
            ExposureBound(
                settings.bounds.expose_share, settings.bounds.expose_allowance
            ),
        )
        self._hints = Hints(
            ports.storage,
            self.tables,
            self.catalog,
            self.entries,
            ports.timers,
            self.rollouts,
            self._suspects,
        )
        entry_host_progress = EntryHostProgress(ports.timers)
        departures = Departures(
            self._peer_name,
            ports.peers,
            ports.timers,
            self.catalog,
            entry_host_progress,
            self._control_hosts,
            self.agreement.voters,
            self._hints.store,
        )
        self.sync_server = SyncServer(
            self._peer_name,
            ports.peers,
            ports.timers,
            self.tables,
            self.catalog,
            self.entries,
            self._suspects,
            self._control_hosts,
            self.agreement.voters,
            departures,
            entry_host_progress,
            epoch=ports.rng.getrandbits(48),
            is_in_contact=self._contact.has_quorum,
            rollouts=self.rollouts,
        )
        self.sync.on_reply = self.sync_server.merge_reply
        self._silence_detector = SilenceDetector(
            self.catalog, ports.timers.now, self._contact
        )
        self._leader_lease = LeaderLease(
            settings.host, self.agreement, ports.timers, settings.bounds.duty_lease
        )
        self._add_gauges()
        self._usage_reporter = self._make_usage_reporter(ports)
        self._autoscaler = self._make_autoscaler(ports)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all components except the listeners until cancelled."""
        await self._hints.load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hints.run)
            await nursery.start(self.agreement.run)
            await nursery.start(self.sync.run)
            nursery.start_soon(self._clean_up)
            nursery.start_soon(self.rollouts.run)
            if self._usage_reporter is not None:
                nursery.start_soon(self._usage_reporter.run)
            if self._autoscaler is not None:
                nursery.start_soon(self._autoscaler.run)
            task_status.started()

    async def leave(self) -> None:
        """Return once this host may stop, as others have taken over what it holds."""
        logging.info("control: Leaving.")
        await self.agreement.leave()

    async def put_table(self, version: int, document: bytes) -> None:
        """Return once the document, or one of its version or later, is committed."""
        self._contact.check()
        await propose_table(
            self.agreement,
            self._timers,
            self.machine.document,
            Document(version, document),
            _PROPOSE_SECONDS,
        )
        logging.info("control: Acknowledged version %d of the routes.", version)

    async def read_table(self) -> bytes:
        """Return the latest committed document."""
        self._contact.check()
        await self.agreement.barrier(_READ_SECONDS)
        if not self.machine.document.version:
            raise Failure(Code.NOT_READY, "There are no routes yet.")
        return self.machine.document.data

    async def start_rollout(self, service: str, to: str, duration: float) -> None:
        """Return once a service's roll-out to a version is committed."""
        self._contact.check()
        if not self.tables.is_known:
            raise Failure(Code.NOT_READY, "This host knows no routes yet.")
        if not self._has_service(service):
            # A host that starts or was replaced may have older routes. Operators don't
            # repeat an order that is refused as invalid.
            await self.agreement.barrier(_READ_SECONDS)
        if not self._has_service(service):
            text = f"There is no service {service!r}."
            raise Failure(Code.INVALID_REQUEST, text)
        await self.rollouts.start(service, to, duration)

    async def read_rollout(self, service: str) -> Rollout:
        """Return a service's latest committed roll-out."""
        self._contact.check()
        return await self.rollouts.read(service)

    async def receive_announcement(self, announcement: Announcement) -> None:
        """Apply an upstream's announcement of itself."""
        await self.sync_server.receive_announcement(announcement)

    async def mark_gone(self, upstream: str, incarnation: int | None = None) -> None:
        """Record that an upstream has ended."""
        await self.sync_server.mark_gone(upstream, incarnation)

    def entry_addresses(self, zone: str) -> list[str]:
        """Return entry host addresses for callers, those of `zone` first."""
        return self.entries.directory(zone).addresses(zone)

    def _has_service(self, name: str) -> bool:
        return name in self.tables.current.services

    def _control_hosts(self) -> list[str]:
        return sorted({self._peer_name, *self.agreement.members()})

    def _add_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge("routes_version", "In force.", lambda: self.tables.current.version)
        add_gauge("is_leader", "1 on the leader.", lambda: self.agreement.is_leader)
        add_gauge("term", "Term of the log.", lambda: self.agreement.term)
        add_gauge("voters", "Of the log.", lambda: len(self.agreement.voters()))
        add_gauge("entry_hosts", "In contact.", lambda: self.entries.count)
        add_gauge("control_hosts", "In reach.", lambda: len(self.sync.reached))
        add_gauge("upstreams", "That take work.", self.catalog.working_count)

    def _make_usage_reporter(self, ports: RelayPorts) -> UsageReporter | None:
        if ports.ledger is None:
            return None
        return UsageReporter(
            self._leader_lease,
            self._settings.bounds.usage_window,
            self.agreement,
            self.entries,
            ports.ledger,
            ports.timers,
            lambda: self.sync.median_time,
        )

    def _make_autoscaler(self, ports: RelayPorts) -> Autoscaler | None:
        if ports.orders is None:
            return None
        return Autoscaler(
            self._leader_lease,
            ports.orders,
            self.tables,
            self.entries,
            self.catalog,
            lambda: self._settings.zones,
            ports.timers,
            self.rollouts.is_trial,
        )

    async def _clean_up(self) -> None:
        async for _ in self._timers.subscribe(_CLEAN_UP_SECONDS):
            self._silence_detector.check()
            self.catalog.forget_silent(_FORGET_SECONDS)
            self._suspects.forget_old()
            self.entries.log_contact_changes()
