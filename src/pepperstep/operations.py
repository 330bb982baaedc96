"""Operators' queries to a host about its own state and others, and drains."""

from collections.abc import Callable

from pepperstep.configuration import ConfigurationStore
from pepperstep.consensus import Consensus, MemberStatus, RemoteAgreement
from pepperstep.entities import Host, ModelKey, Upstream
from pepperstep.errors import Code, Execution, Failure
from pepperstep.membership import Member, Membership, MemberState, UpstreamRegistry
from pepperstep.observability import EventLog
from pepperstep.observability.explanations import Explanations
from pepperstep.observability.views import HostView, StatusView, UpstreamView, VoterView
from pepperstep.ports import PeerNetwork
from pepperstep.proto import operations_pb2
from pepperstep.requests import RequestService
from pepperstep.routing import Router, UpstreamStatus
from pepperstep.routing.breakers import BreakerState

__all__ = ["Operations"]

_DRAIN_TIMEOUT_SECONDS = 2.0


class Operations:
    """Operators' interface to one host and its components."""

    def __init__(
        self,
        host: Host,
        peers: PeerNetwork,
        membership: Membership,
        agreement: Consensus | RemoteAgreement,
        store: ConfigurationStore,
        registry: UpstreamRegistry,
        router: Router,
        requests: RequestService,
        events: EventLog,
        explanations: Explanations,
        reasons_not_ready: Callable[[], list[str]],
        start_drain: Callable[[], None],
    ):
        self.store = store
        self.events = events
        self.explanations = explanations
        self._host = host
        self._peers = peers
        self._membership = membership
        self._agreement = agreement
        self._registry = registry
        self._router = router
        self._requests = requests
        self._reasons_not_ready = reasons_not_ready
        self._start_drain = start_drain
        peers.handle(operations_pb2.DrainHost, self._handle_drain)

    def status(self) -> StatusView:
        """Return the state of this host."""
        leader, voters, is_redundant = self._consensus_state()
        return StatusView(
            host=self._host.name,
            zone=self._host.zone,
            region=self._host.region,
            site=self._host.site,
            revision=self.store.revision,
            reasons_not_ready=tuple(self._reasons_not_ready()),
            is_leaving=self._membership.own.state is MemberState.LEAVING,
            leader=leader,
            term=self._agreement.term,
            in_flight=self._requests.running,
            is_redundant=is_redundant,
            voters=voters,
        )

    def hosts(self) -> list[HostView]:
        """Return the hosts known to this host, including itself."""
        return [_host_view(member) for member in self._membership.members()]

    def upstreams(self) -> list[UpstreamView]:
        """Return the upstreams with a lease, including those that are leaving."""
        states = {each.name: each for each in self._router.status.upstreams}
        return [
            _upstream_view(each, states.get(each.name))
            for each in self._registry.upstreams()
        ]

    async def drain(self, host: str) -> None:
        """Start the drain of a host; return once the host has accepted.

        Raise `Failure`: `UNKNOWN_NAME`, or whatever the call to the host raises, after
        which the drain may have started.
        """
        if host == self._host.name:
            self._start_drain()
            return
        if self._membership.state_of(host) is None:
            raise Failure(Code.UNKNOWN_NAME, f"No host {host}.")
        message = operations_pb2.DrainHost()
        try:
            await self._peers.call(host, message, _DRAIN_TIMEOUT_SECONDS)
        except Failure as failure:
            failure.execution = Execution.MAY_HAVE_RUN
            raise

    async def _handle_drain(
        self, message: operations_pb2.DrainHost, sender: str
    ) -> operations_pb2.DrainAccepted:
        self._start_drain()
        return operations_pb2.DrainAccepted()

    def _consensus_state(self) -> tuple[str, tuple[VoterView, ...], bool | None]:
        if not isinstance(self._agreement, Consensus):
            return self._agreement.leader, (), None
        status = self._agreement.status()
        voters = [_voter_view(each, "voter") for each in status.voters]
        voters += [_voter_view(each, "learner") for each in status.learners]
        return status.leader, tuple(voters), status.is_redundant


def _host_view(member: Member) -> HostView:
    host = member.host
    return HostView(
        name=host.name,
        state=member.state.name.lower(),
        zone=host.zone,
        region=host.region,
        site=host.site,
        peer_address=host.peer_address,
        caller_url=host.caller_url,
        is_control=host.is_control,
    )


def _upstream_view(upstream: Upstream, state: UpstreamStatus | None) -> UpstreamView:
    is_used = state is None or state.state is BreakerState.HEALTHY
    return UpstreamView(
        name=upstream.name,
        kind=upstream.kind,
        zone=upstream.zone,
        address=upstream.address,
        epoch=upstream.epoch,
        host=upstream.host,
        service=upstream.service,
        models=tuple(sorted(_model_text(key) for key in upstream.models)),
        role=upstream.role,
        slots=upstream.slots,
        in_flight=0 if state is None else state.in_flight,
        running=upstream.load.running,
        waiting=upstream.load.waiting,
        is_leaving=upstream.is_leaving,
        ejected="" if is_used else state.state.name.lower(),
    )


def _voter_view(member: MemberStatus, role: str) -> VoterView:
    return VoterView(member.name, role, member.match_index, member.contact_age)


def _model_text(key: ModelKey) -> str:
    return ":".join((key.model, key.adapter, key.version)).rstrip(":")
