"""Assembly of a host's components on the ports of the daemon or of a test."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.claims import MACHINE_NAME, ClaimMachine, Claims, Fences
from pepperstep.configuration import Configuration, ConfigurationStore, StoreSettings
from pepperstep.consensus import Consensus, RemoteAgreement
from pepperstep.errors import Code, Failure
from pepperstep.fleet import Fleet, FleetPorts
from pepperstep.membership import (
    Membership,
    Seed,
    UpstreamChange,
    UpstreamRegistry,
)
from pepperstep.observability import EventLog
from pepperstep.observability.explanations import Explanations
from pepperstep.observability.metrics import Metrics
from pepperstep.operations import Operations
from pepperstep.ports import PeerNetwork, Storage, Timers
from pepperstep.ports.cloud import Cloud, ReclaimNotice
from pepperstep.ports.upstreams import UpstreamClient
from pepperstep.ports.weights import WeightStore
from pepperstep.requests import (
    LINK_MACHINE,
    LinkMachine,
    Recovery,
    RequestService,
    TerminationNotice,
)
from pepperstep.requests.mover import MoveSettings
from pepperstep.routing import Router, RoutingSettings
from pepperstep.settings import Settings

__all__ = ["Node", "Policies", "Ports"]

_JOIN_TIMEOUT_SECONDS = 2.0
_JOIN_RETRY_SECONDS = 0.5
_DRAIN_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Ports:
    """External services of a host.

    Only control hosts use `storage`; `cloud` and `weights` are for the control hosts
    that manage the fleet.
    """

    timers: Timers
    peers: PeerNetwork
    upstreams: UpstreamClient
    rng: random.Random
    storage: Storage | None = None
    cloud: Cloud | None = None
    weights: WeightStore | None = None


@dataclass(frozen=True, slots=True)
class Policies:
    """Overrides of the default policies, for comparisons."""

    routing: RoutingSettings | None = None
    moves: MoveSettings | None = None
    # Whether requests that crash upstreams are detected and refused.
    is_guarded: bool = True
    # A name in `pepperstep.fleet.policies.POLICIES`.
    fleet: str = "planned"


class Node:
    """A host and its components, which run until cancelled or drained."""

    def __init__(
        self, settings: Settings, ports: Ports, policies: Policies | None = None
    ):
        self.host = settings.to_host()
        self.timers = ports.timers
        self.metrics = Metrics()
        self.events = EventLog(self.host.name, ports.timers)
        self.explanations = Explanations(self.host.name, ports.timers)
        self._settings = settings
        self._ports = ports
        self._policies = policies or Policies()
        self._drain_requested = trio.Event()
        incarnation = int(ports.timers.wall() * 1000)
        self.directory = Membership.from_config(
            self.host,
            [Seed(seed.peer_address, seed.name) for seed in settings.seeds],
            ports.peers,
            ports.timers,
            ports.rng,
            incarnation,
        )
        self.agreement = _make_agreement(settings, ports)
        self.agreement.register(LINK_MACHINE, LinkMachine())
        self.agreement.register(MACHINE_NAME, ClaimMachine())
        self.store = self._make_store()
        self._fences = Fences.from_config(self.host.name, self.agreement)
        self._claims = Claims.from_config(
            lambda: self._fences.identity,
            self.agreement,
            ports.timers,
            lambda: self.configuration.limits.claim_seconds,
        )
        self.registry = UpstreamRegistry.from_config(
            self.host, self.directory.hosts, ports.peers, ports.timers, ports.rng
        )
        self.recovery = Recovery.from_ports(
            self.host.name,
            incarnation,
            ports.peers,
            ports.timers,
            self.directory,
            ports.upstreams,
            ports.rng,
            view=self.registry,
            settings=self._policies.moves,
            is_guarded=self._policies.is_guarded,
        )
        self.registry.subscribe(self._handle_upstream_change)
        self.router = self._make_router()
        self.requests = self._make_requests(incarnation)
        self._fleet = self._make_fleet()
        self._add_gauges()
        self.operations = Operations(
            self.host,
            ports.peers,
            self.directory,
            self.agreement,
            self.store,
            self.registry,
            self.router,
            self.requests,
            self.events,
            self.explanations,
            self.reasons_not_ready,
            self.start_drain,
        )

    @property
    def configuration(self) -> Configuration:
        """The configuration in force, with revision 0 until one is known."""
        return self.store.current

    @property
    def is_leaving(self) -> bool:
        """Whether this host has started to drain."""
        return self._drain_requested.is_set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all components until cancelled."""
        async with trio.open_nursery() as nursery:
            for start in self._run_methods():
                await nursery.start(start)
            nursery.start_soon(self._join_fencing)
            logging.info("node: Host %s is running.", self.host.name)
            task_status.started()

    def reasons_not_ready(self) -> list[str]:
        """Return the reasons why this host should get no requests, none if ready."""
        reasons = []
        if self.is_leaving:
            reasons.append("The host leaves.")
        if not self.store.is_ready:
            reasons.append("The agreed revision of the configuration is not known.")
        elif not self.configuration.revision:
            reasons.append("There is no configuration yet.")
        if not self._fences.identity.incarnation:
            reasons.append("The host has not joined the control hosts' log.")
        if not self._settings.requests.is_single and self._is_alone():
            reasons.append("No second entry host is reachable.")
        return reasons

    def start_drain(self) -> None:
        """Request a drain, on which `wait_drain_requested` returns."""
        if not self.is_leaving:
            logging.info("node: Draining.")
            self.events.note("node", "The host leaves.", "A drain was asked for.")
        self._drain_requested.set()

    async def wait_drain_requested(self) -> None:
        """Return once a drain has been requested."""
        await self._drain_requested.wait()

    async def drain(self) -> None:
        """Leave without aborting a request.

        The host leaves the list of entry hosts at once and keeps serving for as long
        as callers cache that list. Then it refuses new requests. Those that still run
        at the end of the drain's time limit are handed over to their second hosts,
        after those at an upstream that must not run twice have ended.
        """
        await self.directory.leave()
        await self.timers.sleep(self.configuration.limits.entry_hosts_seconds)
        self.requests.stop_accepting()
        with self.timers.move_on_after(self._settings.requests.drain_seconds):
            while self.requests.running:
                await self.timers.sleep(_DRAIN_POLL_SECONDS)
        while self.requests.running_once:
            await self.timers.sleep(_DRAIN_POLL_SECONDS)
        if self.requests.running:
            await self.requests.hand_over()

    async def depart(self) -> None:
        """Hand the lead over and announce to the other hosts that this one has left."""
        await self.agreement.leave()
        await self.directory.depart()

    def _run_methods(self) -> list[Callable]:
        methods = [
            self.directory.run,
            self.agreement.run,
            self.store.run,
            self._claims.run,
            self.registry.run,
            self.router.run,
            self.requests.run,
        ]
        if self._fleet is not None:
            methods.append(self._fleet.run)
        return methods

    def _make_store(self) -> ConfigurationStore:
        control = self._settings.control.voters
        return ConfigurationStore.from_config(
            StoreSettings(
                self.host.name,
                self.host.is_control,
                lambda: [host.name for host in self.directory.hosts()],
                lambda: control,
            ),
            self.agreement,
            self._ports.peers,
            self._ports.timers,
            self._ports.rng,
            self._ports.storage,
        )

    def _make_router(self) -> Router:
        return Router(
            self.recovery.moves,
            self._ports.timers,
            settings=self._policies.routing,
            rng=self._ports.rng,
            configuration=lambda: self.configuration,
            zone=self.host.zone,
            region=self.host.region,
            host_count=lambda: len(self.directory.entry_hosts()),
        )

    def _make_requests(self, incarnation: int) -> RequestService:
        limits = self.configuration.limits
        return RequestService(
            self.host,
            incarnation,
            self._ports.peers,
            self._ports.timers,
            self.directory,
            self.agreement,
            self.router,
            self._ports.upstreams,
            is_single=self._settings.requests.is_single,
            resume_grace_seconds=limits.resume_grace_seconds,
            outcome_seconds=limits.outcome_seconds,
            claims=self._claims,
            recorder=self.metrics,
            recovery=self.recovery,
            explanations=self.explanations,
        )

    def _make_fleet(self) -> Fleet | None:
        if not self.host.is_control or self._ports.cloud is None:
            return None
        ports = FleetPorts(
            self.host.name,
            self.agreement,
            self._ports.cloud,
            self._ports.upstreams,
            self.registry,
            self._ports.timers,
            self._ports.rng,
            self._ports.weights,
        )
        return Fleet.from_config(
            ports,
            lambda: self.configuration,
            self._handle_reclaims,
            policy=self._policies.fleet,
        )

    def _add_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge("revision", "Revision in force.", lambda: self.store.revision)
        add_gauge("is_leader", "1 on the leader.", lambda: self.agreement.is_leader)
        add_gauge("in_flight", "Requests owned.", lambda: self.requests.running)

    def _handle_upstream_change(self, change: UpstreamChange) -> None:
        """Move requests off an upstream that announces that it leaves."""
        before, after = change.before, change.after
        if after is None or not after.is_leaving:
            return
        if before is None or not before.is_leaving:
            self.recovery.moves.add_leaving_upstream(after)

    async def _handle_reclaims(self, notices: list[ReclaimNotice]) -> None:
        """Announce hosts that the cloud reclaims to all entry hosts."""
        for notice in notices:
            self.registry.mark_host_leaving(notice.host_id)
            self.events.note("fleet", f"The cloud takes {notice.host_id} back.")
        self.recovery.moves.add_notices(
            [
                TerminationNotice(f"cloud-{each.id}", each.at, each.host_id)
                for each in notices
            ]
        )

    async def _join_fencing(self) -> None:
        start_id = f"{self._ports.rng.getrandbits(64):016x}"
        while True:
            try:
                await self._fences.join(start_id, _JOIN_TIMEOUT_SECONDS)
            except Failure as failure:
                if failure.code is not Code.NO_QUORUM:
                    raise
                await self.timers.sleep(_JOIN_RETRY_SECONDS)
            else:
                return

    def _is_alone(self) -> bool:
        others = [h for h in self.directory.entry_hosts() if h.name != self.host.name]
        return not others


def _make_agreement(settings: Settings, ports: Ports) -> Consensus | RemoteAgreement:
    if "control" not in settings.host.roles:
        return RemoteAgreement.from_config(
            voters=settings.control.voters,
            peers=ports.peers,
            timers=ports.timers,
            rng=ports.rng,
        )
    return Consensus.from_config(
        name=settings.host.name,
        voters=settings.control.voters,
        storage=ports.storage,
        peers=ports.peers,
        timers=ports.timers,
        rng=ports.rng,
    )
