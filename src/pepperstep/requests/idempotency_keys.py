"""Reserves idempotency keys for the first request that uses them.

The first entry hosts in a key's rendezvous order keep its reservation, so that a retry
finds the request at whichever host it arrives. Non-repeatable requests use claims in
the replicated log instead.
"""

from dataclasses import dataclass

from pepperstep.entities import Host, Request
from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.ports.directory import Directory
from pepperstep.proto import journal_pb2
from pepperstep.requests.journal import rank_hosts

__all__ = ["IdempotencyKeys", "KeyReservations"]

_CALL_TIMEOUT_SECONDS = 0.3
# Number of hosts that keep a key, and number of hosts tried if some don't answer.
_RESERVATION_HOSTS = 2
_MAX_TRIED_HOSTS = 4


@dataclass(slots=True)
class _Holder:
    """The request that holds a key until `expires_at` (monotonic seconds)."""

    request_id: str
    fingerprint: str
    expires_at: float


class KeyReservations:
    """Key reservations that this host keeps."""

    def __init__(self, timers: Timers):
        self._timers = timers
        self._holders: dict[tuple[str, str], _Holder] = {}

    def reserve(
        self, reservation: journal_pb2.KeyReservation
    ) -> journal_pb2.KeyReservation:
        """Return the key's holder, which is the given request if the key was free."""
        now = self._timers.now()
        key = (reservation.workspace, reservation.key)
        holder = self._holders.get(key)
        is_free = holder is None or holder.expires_at < now
        if is_free or holder.request_id in (
            reservation.request_id,
            reservation.replaces,
        ):
            holder = _Holder(
                reservation.request_id,
                reservation.fingerprint,
                now + reservation.keep_seconds,
            )
            self._holders[key] = holder
        return journal_pb2.KeyReservation(
            workspace=reservation.workspace,
            key=reservation.key,
            request_id=holder.request_id,
            fingerprint=holder.fingerprint,
        )

    def prune(self) -> None:
        """Remove expired reservations."""
        now = self._timers.now()
        expired = [
            key for key, holder in self._holders.items() if holder.expires_at < now
        ]
        for key in expired:
            del self._holders[key]


class IdempotencyKeys:
    """Reserves idempotency keys at the entry hosts that keep them."""

    def __init__(
        self,
        host: Host,
        peers: PeerNetwork,
        timers: Timers,
        directory: Directory,
        keep_seconds: float,
    ):
        self._host = host
        self._peers = peers
        self._timers = timers
        self._directory = directory
        self._keep_seconds = keep_seconds
        self.local_reservations = KeyReservations(timers)
        # Names of the entry hosts when keys were last refreshed.
        self._known_hosts: frozenset[str] = frozenset()
        peers.handle(journal_pb2.ReserveKeys, self._handle_reserve)

    async def reserve(
        self, request: Request, replaces: str = ""
    ) -> journal_pb2.KeyReservation:
        """Reserve the request's key and return its holder.

        `replaces` is the id of a request whose reservation may be taken over.
        """
        reservation = self._build_reservation(request, replaces)
        reserved = 0
        for host in self._rank_reservation_hosts(request)[:_MAX_TRIED_HOSTS]:
            holder = await self._reserve_at(host, reservation)
            if holder is None:
                continue
            if holder.request_id != request.id:
                return holder
            reserved += 1
            if reserved == _RESERVATION_HOSTS:
                break
        return reservation

    async def refresh(self, requests: list[Request]) -> None:
        """Reserve the keys of live requests again if the entry hosts have changed."""
        names = frozenset(host.name for host in self._directory.entry_hosts())
        if names == self._known_hosts:
            return
        self._known_hosts = names
        reservations_by_host: dict[str, list[journal_pb2.KeyReservation]] = {}
        for request in requests:
            for host in self._rank_reservation_hosts(request)[:_RESERVATION_HOSTS]:
                reservations_by_host.setdefault(host.name, []).append(
                    self._build_reservation(request)
                )
        for name, reservations in reservations_by_host.items():
            await self._reserve_all_at(name, reservations)

    async def _reserve_at(
        self, host: Host, reservation: journal_pb2.KeyReservation
    ) -> journal_pb2.KeyReservation | None:
        holders = await self._reserve_all_at(host.name, [reservation])
        return holders[0] if holders else None

    async def _reserve_all_at(
        self, name: str, reservations: list[journal_pb2.KeyReservation]
    ) -> list[journal_pb2.KeyReservation]:
        """Return the keys' holders, or nothing if the host doesn't answer."""
        if name == self._host.name:
            return [
                self.local_reservations.reserve(reservation)
                for reservation in reservations
            ]
        message = journal_pb2.ReserveKeys(reservations=reservations)
        try:
            answer = await self._peers.call(name, message, _CALL_TIMEOUT_SECONDS)
        except Failure:
            return []
        return list(answer.holders)

    async def _handle_reserve(
        self, message: journal_pb2.ReserveKeys, sender: str
    ) -> journal_pb2.KeysReserved:
        holders = [
            self.local_reservations.reserve(reservation)
            for reservation in message.reservations
        ]
        return journal_pb2.KeysReserved(holders=holders)

    def _rank_reservation_hosts(self, request: Request) -> list[Host]:
        key = f"{request.workspace}\0{request.idempotency_key}"
        return rank_hosts(self._directory.entry_hosts(), key)

    def _build_reservation(
        self, request: Request, replaces: str = ""
    ) -> journal_pb2.KeyReservation:
        remaining = max(0.0, request.deadline - self._timers.wall())
        return journal_pb2.KeyReservation(
            workspace=request.workspace,
            key=request.idempotency_key,
            request_id=request.id,
            fingerprint=request.fingerprint,
            keep_seconds=remaining + self._keep_seconds,
            replaces=replaces,
        )
