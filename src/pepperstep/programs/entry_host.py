"""Assembly of an entry host, which relays callers' requests to upstreams."""

import trio
import xxhash
from absl import logging

from pepperstep.coordination import (
    Announcement,
    EntryReport,
    HostShare,
    SuspectFeatures,
    SyncClient,
    TableStore,
    UpstreamCatalog,
    UpstreamKey,
)
from pepperstep.coordination.host_share import CONTACT_SECONDS
from pepperstep.coordination.silence import SilenceVotes
from pepperstep.observability.relay_metrics import RelayMetrics
from pepperstep.observability.scheduling_recorder import SchedulingRecorder
from pepperstep.programs.draining import DrainSchedule
from pepperstep.programs.relay_ports import RelayPorts
from pepperstep.programs.relay_settings import RelaySettings
from pepperstep.programs.scheduling import ServiceShards
from pepperstep.proto import coordination_pb2 as pb
from pepperstep.relay import Chooser, Pools, Quotas, Relay, RetryBudget, RunCounts
from pepperstep.relay.attempt import AttemptRunner
from pepperstep.relay.backoff import Backoff
from pepperstep.relay.budget import BudgetSettings
from pepperstep.relay.crash_guard import CrashGuard
from pepperstep.relay.keepers import KeyOwners
from pepperstep.relay.peer_forwarding import ForwardedRequests, PeerForwarder
from pepperstep.relay.permits import Permits
from pepperstep.relay.prompts import PrefillTracker
from pepperstep.relay.quota_claims import QuotaClaims
from pepperstep.relay.quota_limits import QuotaTolerance
from pepperstep.relay.recorder import RelayRecorder
from pepperstep.relay.resumptions import Resumptions
from pepperstep.relay.selector import Selector
from pepperstep.relay.shared_load import SharedLoad
from pepperstep.relay.signals import AnswerSignals
from pepperstep.relay.stream_origins import StreamOrigins
from pepperstep.relay.upstream_contact import UpstreamContact
from pepperstep.relay.usual_waits import UsualWaits
from pepperstep.rollouts import Rollout, RolloutObserver, VersionSplit
from pepperstep.scheduling.client import SchedulingClient
from pepperstep.scheduling.server import SchedulingServer
from pepperstep.scheduling.settings import SchedulingSettings

__all__ = ["EntryHost"]

# Seconds for which a silent upstream stays known, so that late reports about it don't
# count as news. With 10,000 upstreams and 1% of them crashing per hour, 17 silent
# upstreams are kept.
_FORGET_SECONDS = 600.0
_CLEAN_UP_SECONDS = 1.0


class EntryHost:
    """Relays callers' requests to upstreams."""

    def __init__(self, settings: RelaySettings, ports: RelayPorts):
        self._settings = settings
        self._timers = ports.timers
        self._incarnation = int(ports.timers.wall() * 1000)
        self._started_at = ports.timers.now()
        self._leaving_since: float | None = None
        self._drain_schedule = DrainSchedule.from_config(settings.bounds)
        now = ports.timers.now
        self.metrics = RelayMetrics()
        self.tables = TableStore(ports.decode)
        self.catalog = UpstreamCatalog(now)
        self.suspects = SuspectFeatures(now, _stagger_of(settings.peer_address))
        self.sync = SyncClient(
            settings.peer_address,
            settings.seeds,
            ports.peers,
            ports.timers,
            self.tables,
            self.catalog,
            self.suspects,
            self._report,
        )
        bounds = settings.bounds
        self._host_share = HostShare(max(bounds.retry_window, bounds.quota_window), now)
        self._pools = Pools(ports.connector, self._host_count, now)
        self._contact = UpstreamContact(
            self.catalog, self._pools, ports.timers, ports.rng
        )
        tolerance = QuotaTolerance(
            bounds.quota_overage, bounds.quota_allowance, bounds.quota_window
        )
        self._quotas = Quotas(
            self._host_count, now, tolerance, self._is_in_contact, ports.rng.random()
        )
        keepers = self._make_owners(ports)
        claims = QuotaClaims(keepers, ports.peers, self._quotas)
        self._counts = RunCounts(bounds.usage_window, self._true_time)
        prompts = PrefillTracker(now)
        # Shards that this host owns, for gauges and tests; None without the scheduling.
        self.scheduling_server: SchedulingServer | None = None
        self._scheduling: SchedulingClient | None = None
        self._shared_load: SharedLoad | None = None
        if settings.scheduling is not None:
            self._add_scheduling(settings.scheduling, ports)
        else:
            self._shared_load = SharedLoad(
                keepers,
                ports.peers,
                ports.timers,
                lambda upstream: self._chooser.work_at(upstream),
            )
        self.versions = VersionSplit(now, lambda each: self._observer.is_judged(each))
        self._observer = RolloutObserver(
            settings.peer_address,
            self._incarnation,
            ports.peers,
            ports.timers,
            self.versions.running,
            self._in_flight_elsewhere,
        )
        self._backoff = Backoff(now)
        self._permits = Permits(
            self.catalog,
            self._backoff,
            keepers,
            ports.peers,
            self._host_count,
            ports.timers,
            ports.rng,
        )
        self._signals = AnswerSignals(
            self.catalog,
            self._backoff,
            ports.peers,
            ports.timers,
            lambda: self.sync.reached,
        )
        self._crash_guard = CrashGuard(
            self.suspects,
            self.catalog,
            ports.peers,
            ports.timers,
            lambda: self.sync.reached,
        )
        # With owners of its own: hosts of earlier releases keep no origins, but still
        # grant quotas and permits.
        self.origins = StreamOrigins(
            self._make_owners(ports),
            ports.peers,
            self.catalog,
            ports.timers,
            self._true_time,
            self._pools.may_have_restarted,
        )
        self._chooser = Chooser(
            self.catalog,
            self._pools,
            settings.zone,
            self._host_count,
            now,
            ports.rng,
            prompts,
            self._shared_load,
            self.versions,
            self._backoff,
        )
        budget = RetryBudget(
            BudgetSettings(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_allowance
            ),
            self._host_share,
            now,
        )
        recorder = RelayRecorder(self.metrics, self.tables, self.catalog, ports.timers)
        selector = Selector(
            self._chooser,
            self._scheduling,
            UsualWaits(),
            SchedulingRecorder(self.metrics),
            ports.timers,
        )
        attempts = AttemptRunner(
            ports.wire,
            self._pools,
            self.catalog,
            self._chooser,
            selector,
            self._counts,
            self._signals,
            self._crash_guard,
            self._contact,
            self.origins,
            ports.timers,
            self._record_outcome,
        )
        forwarder = PeerForwarder(
            ports.wire,
            ports.connector,
            self._forward_addresses,
            lambda: self.tables.current.version,
            self.metrics,
            ports.timers,
            ports.rng,
        )
        self.relay = Relay(
            ports.wire,
            self.tables,
            self.catalog,
            self._chooser,
            selector,
            self._permits,
            attempts,
            self._quotas,
            claims,
            budget,
            self._crash_guard,
            recorder,
            self._contact,
            forwarder,
            Resumptions(
                self.origins, self.tables, self.catalog, self._chooser, recorder
            ),
            ports.timers,
            ports.rng,
            self._accepts,
        )
        # Accepts requests from other entry hosts.
        self.forwarded = ForwardedRequests(
            self.relay.handle_forwarded,
            lambda: self.is_ready and not self._contact.is_cut_off,
            lambda: self.tables.current.version,
            now,
        )
        self._add_gauges()
        self.tables.subscribe(self._quotas.watch)
        self.sync.on_admitted = self._quotas.record_spent_elsewhere
        self.sync.on_restart = self._quotas.refill_after_restart
        self.sync.needs_fresh_counts = lambda: self._quotas.has_active_workspace
        self._contact.subscribe(self.sync.sync_now)
        self.catalog.subscribe(self._handle_upstream_change)
        self.catalog.subscribe_restarts(self._handle_restart)
        self.catalog.subscribe_forgotten(self._handle_removal)
        self._silence_votes = SilenceVotes(self.catalog, now)
        self.sync.on_reply = self._handle_reply
        self.sync.rollouts_index = lambda: self.versions.index

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this host."""
        return self.tables.is_known and self._leaving_since is None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all components except the listeners until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.sync.run)
            if self._shared_load is not None:
                nursery.start_soon(self._shared_load.run)
            if self._scheduling is not None:
                nursery.start_soon(self.scheduling_server.run)
                nursery.start_soon(self._scheduling.run)
            nursery.start_soon(self._observer.run)
            nursery.start_soon(self._signals.run)
            nursery.start_soon(self._crash_guard.run)
            nursery.start_soon(self._permits.run)
            nursery.start_soon(self.origins.run)
            nursery.start_soon(self._contact.run)
            nursery.start_soon(self._clean_up)
            task_status.started()

    def entry_addresses(self, zone: str) -> list[str]:
        """Return entry host addresses for callers, those of `zone` first."""
        own = self._settings.entry.caller_address
        without = own if self._leaving_since is not None else ""
        return self.sync.directory.addresses(zone, without)

    def leave(self, since: float) -> None:
        """Leave the directory for callers; requests are taken if there is time left."""
        if self._leaving_since is None:
            logging.info("entry: Leaving.")
            self._leaving_since = since
            self.sync.sync_now()

    def _make_owners(self, ports: RelayPorts) -> KeyOwners:
        return KeyOwners(
            self._settings.peer_address,
            ports.peers,
            ports.timers,
            lambda: self.sync.directory.keepers,
        )

    def _add_scheduling(self, settings: SchedulingSettings, ports: RelayPorts) -> None:
        """Add the shards that this host may own, and its requests to owners.

        The scheduling backs off from owners by itself: an owner without the setting
        refuses its messages, but still answers for quotas and permits.
        """
        shards = ServiceShards(self.tables, self.catalog, settings, ports.rng)
        recorder = SchedulingRecorder(self.metrics)
        self.scheduling_server = SchedulingServer(
            ports.peers,
            ports.timers,
            shards.make,
            shards.upstreams,
            recorder.record_shard,
        )
        self._scheduling = SchedulingClient(
            self._make_owners(ports),
            self.scheduling_server,
            ports.timers,
            settings,
            ports.rng,
            shards.order,
            shards.members,
        )
        self.catalog.subscribe(lambda _: self.scheduling_server.refresh())
        self.metrics.add_scheduling_gauges(
            lambda: self.scheduling_server.shard_count,
            lambda: self.scheduling_server.in_flight,
        )

    def _add_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge("routes_version", "In force.", lambda: self.tables.current.version)
        add_gauge("control_hosts", "In reach.", lambda: len(self.sync.reached))
        add_gauge("upstreams", "That take work.", self.catalog.working_count)
        add_gauge(
            "limited_upstreams", "That state a limit.", self.catalog.limited_count
        )
        add_gauge(
            "blocked_contents",
            "That break runs.",
            lambda: self.suspects.blocked_content_count,
        )
        add_gauge(
            "blocked_parts",
            "Prompt parts that break runs.",
            lambda: self.suspects.blocked_part_count,
        )
        add_gauge(
            "cut_off_services",
            "Of which no upstream can be connected to.",
            lambda: self._contact.cut_off_count,
        )
        add_gauge(
            "accepted_forwarded",
            "Requests of other entry hosts that this one works on.",
            lambda: self.forwarded.in_flight,
        )
        add_gauge(
            "stream_origins",
            "Streams whose software version this host keeps.",
            lambda: self.origins.count,
        )
        add_gauge("ready", "1 if callers are told of it.", lambda: self.is_ready)
        add_gauge("owner", "1 if it's named as an owner.", self._is_owner)

    def _accepts(self, deadline: float) -> bool:
        """Whether this host lasts until a request's deadline, or long enough."""
        if self._leaving_since is None:
            return True
        now = self._timers.now()
        return self._drain_schedule.accepts(now - self._leaving_since, deadline - now)

    def _report(self) -> EntryReport:
        return EntryReport(
            host=self._settings.peer_address,
            incarnation=self._incarnation,
            caller_address=self._settings.entry.caller_address,
            zone=self._settings.zone,
            is_ready=self.is_ready,
            admitted=self._quotas.admitted(),
            windows=self._counts.windows(),
            works=self._chooser.works(),
            uptime=self._timers.now() - self._started_at,
            capacity=self._settings.capacity,
            is_cut_off=self._contact.is_cut_off,
            forward_address=self._settings.entry.forward_address,
        )

    def _forward_addresses(self) -> list[str]:
        """Return where other entry hosts accept requests that this one can't serve."""
        own = self._settings.entry.caller_address
        return self.sync.directory.forward_addresses(without=own)

    def _is_owner(self) -> bool:
        return self._settings.peer_address in self.sync.directory.keepers

    def _is_in_contact(self) -> bool:
        return self.sync.silence < CONTACT_SECONDS

    def _host_count(self) -> int:
        """Return the number of entry hosts that share limits, this one included.

        A host that is cut off can't count the others, so a number reported by control
        hosts takes precedence.
        """
        share = self._host_share
        return share.hosts if share.joins else self.sync.entry_count

    def _true_time(self) -> float:
        return self.sync.median_time

    def _in_flight_elsewhere(self, rollout: Rollout) -> int:
        """Return the number of in-flight requests at a service's other versions."""
        return sum(
            self._chooser.work_at(each.key).requests
            for each in self.catalog.all()
            if each.service == rollout.service and each.software != rollout.to
        )

    def _record_outcome(
        self,
        upstream: Announcement,
        route: str,
        seconds: float | None,
        expected: float,
    ) -> None:
        rollout = self.versions.get(upstream.service)
        if rollout is not None and rollout.is_running:
            self._observer.record_outcome(rollout, route, upstream, seconds, expected)

    def _apply_rollouts(self, reply: pb.SyncReply) -> None:
        if reply.judge:
            self._observer.judge = reply.judge
        for message in reply.rollouts:
            rollout = Rollout.from_message(message)
            if self.versions.update(rollout):
                logging.info(
                    "entry: Roll-out %d of %s to %s is %s at %.0f%%.",
                    rollout.number,
                    rollout.service,
                    rollout.to,
                    rollout.state,
                    100 * rollout.share,
                )
                self._observer.wake()

    def _handle_upstream_change(self, announcement: Announcement) -> None:
        self.versions.observe_upstream(announcement)
        if not announcement.takes_work:
            self._pools.close_idle(announcement.key)
        if announcement.is_gone:
            self._forget(announcement.key)

    def _handle_restart(self, before: Announcement) -> None:
        """Drop the connections and state of an upstream's previous incarnation."""
        self._pools.close_all(before.key)
        self._forget(before.key)

    def _handle_removal(self, upstream: Announcement) -> None:
        self._pools.close_idle(upstream.key)
        self._forget(upstream.key)
        self._silence_votes.forget(upstream.key)

    def _forget(self, upstream: UpstreamKey) -> None:
        self._chooser.forget(upstream)
        if self._shared_load is not None:
            self._shared_load.forget(upstream)
        if self._scheduling is not None:
            self._scheduling.forget(upstream)
        self._permits.forget(upstream)
        self._backoff.forget(upstream)

    def _handle_reply(self, control_host: str, reply: pb.SyncReply, age: float) -> None:
        self._silence_votes.record_reply(control_host, reply)
        self._crash_guard.record_epoch(control_host, reply.registry_epoch)
        if reply.is_in_contact:
            self._host_share.record_host_count(self.sync.entry_count)
        self._apply_rollouts(reply)

    async def _clean_up(self) -> None:
        async for _ in self._timers.subscribe(_CLEAN_UP_SECONDS):
            self.catalog.forget_silent(_FORGET_SECONDS)
            self.suspects.forget_old()
            self._pools.close_expired()
            self._permits.drop_idle()
            self.origins.forget_old()


def _stagger_of(name: str) -> float:
    """Return a number from 0 to 1 that differs between hosts."""
    return xxhash.xxh64_intdigest(name.encode()) / 2**64
