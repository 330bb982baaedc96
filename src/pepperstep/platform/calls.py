"""HTTP handlers for operators, upstreams, directory queries and readiness probes."""

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal, Protocol, TypeVar
from urllib.parse import parse_qs

import msgspec
import trio
from absl import logging

from pepperstep.coordination import Announcement
from pepperstep.errors import Code, Failure, InvalidDocument
from pepperstep.platform import names
from pepperstep.platform.documents import TableDecoder
from pepperstep.ports.exchange import Answer, Exchange
from pepperstep.rollouts import Rollout

__all__ = [
    "ControlHandler",
    "DirectoryHandler",
    "EntryDirectory",
    "Operations",
    "ReadinessHandler",
]

_JSON = ((b"content-type", b"application/json"),)
_STATUSES = {
    Code.INVALID_REQUEST: 400,
    Code.UNKNOWN_NAME: 404,
    Code.REVISION_CONFLICT: 409,
}
_UNAVAILABLE = 503
_NOT_FOUND = Answer(404, b'{"error":"unknown call"}', _JSON)
# Headers of 503 answers, with the seconds after which to retry.
_RETRY_HEADERS = (*_JSON, (b"retry-after", b"0.2"))


class EntryDirectory(Protocol):
    """Directory of entry hosts."""

    def entry_addresses(self, zone: str) -> list[str]:
        """Return addresses for callers in `zone`, the preferred ones first."""


class Operations(Protocol):
    """Operations of a control host; errors are raised as `Failure` with a code."""

    async def put_table(self, version: int, document: bytes) -> None:
        """Return once the document is committed, or its version isn't higher."""

    async def read_table(self) -> bytes:
        """Return the latest committed document; raise `NO_QUORUM` if it's uncertain."""

    async def start_rollout(self, service: str, to: str, duration: float) -> None:
        """Return once a roll-out of the service to version `to` is committed.

        Raise `REVISION_CONFLICT` while a roll-out to another version is running.
        """

    async def read_rollout(self, service: str) -> Rollout:
        """Return the service's latest roll-out; raise `UNKNOWN_NAME` if it had none."""

    async def receive_announcement(self, announcement: Announcement) -> None:
        """Process an upstream's heartbeat."""

    async def mark_gone(self, upstream: str, incarnation: int | None) -> None:
        """Process an upstream's deregistration, of the latest incarnation for None."""


_Message = TypeVar("_Message", bound=msgspec.Struct)

# Ranges of the integers in messages between hosts.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
_MAX_ROLLOUT_SECONDS = 86_400.0
_MAX_PORT = 65_535
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9]+(\.[0-9]+){3}:[0-9]{1,5}$")]


class _Beat(msgspec.Struct):
    """A replica's heartbeat."""

    service: _Name
    address: _Address
    zone: _Name
    slots: _Count
    state: Literal[names.STATE_READY, names.STATE_DRAINING]
    sequence: _Number
    # Version of its software.
    version: str = ""
    # Remaining warm-up time, during which it is slow.
    cold_remaining_ms: float = 0
    # Whether it may be reclaimed.
    spot: bool = False
    leaves_ms: float | None = None
    # Unix time of its start in milliseconds.
    born: _Number = 0


class _RolloutOrder(msgspec.Struct):
    """An operator's order to roll out a version of a service."""

    service: _Name
    to: _Name
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_ROLLOUT_SECONDS)]


class _Deregistration(msgspec.Struct):
    """Optional body of a replica's deregistration."""

    # Unix time of its start in milliseconds.
    born: _Number | None = None


@dataclass(frozen=True, slots=True)
class _Call:
    """Method, path, query and body of a call."""

    method: bytes
    path: str
    query: dict[str, list[str]]
    body: bytes

    @classmethod
    def from_exchange(cls, exchange: Exchange) -> "_Call":
        """Return the call in an exchange."""
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        return cls(exchange.head.method, path, parse_qs(query), exchange.body)


class ControlHandler:
    """Handles calls of operators and upstreams."""

    def __init__(self, operations: Operations, decoder: TableDecoder | None = None):
        self._operations = operations
        self._decoder = decoder or TableDecoder()
        # Scopes of the calls in progress.
        self._scopes: set[trio.CancelScope] = set()
        self._has_ended = False

    def end(self) -> None:
        """Answer all calls in progress with 503, and refuse all further ones.

        An order in progress may still take effect: 503 doesn't deny that.
        """
        self._has_ended = True
        for scope in self._scopes:
            scope.cancel()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        call = _Call.from_exchange(exchange)
        try:
            answer = await self._answer_unless_ended(call)
        except InvalidDocument as error:
            logging.info("operators: Configuration refused: %s", error.text)
            answer = _error(400, error)
        except Failure as failure:
            status = _STATUSES.get(failure.code, _UNAVAILABLE)
            logging.info("operators: Call of %s failed: %s", call.path, failure.text)
            answer = _error(status, failure)
        await exchange.answer(answer)

    async def _answer_unless_ended(self, call: _Call) -> Answer:
        """Return the answer; raise `Failure` with `DRAINING` once `end` is called."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                if not self._has_ended:
                    return await self._answer(call)
            finally:
                self._scopes.discard(scope)
        raise Failure(Code.DRAINING, "This host ends.")

    async def _answer(self, call: _Call) -> Answer:
        if call.path.startswith(names.HEARTBEAT):
            return await self._handle_heartbeat(call)
        if call.path.startswith(names.DEREGISTER):
            return await self._handle_deregistration(call)
        if call.path == names.CONFIG_REPLACE and call.method == b"POST":
            table = self._decoder.decode(call.body)
            await self._operations.put_table(table.version, call.body)
            return Answer(200, b"{}", _JSON)
        if call.path == names.CONFIG_READ and call.method == b"GET":
            return Answer(200, await self._operations.read_table(), _JSON)
        if call.path == names.ROLLOUT_START and call.method == b"POST":
            return await self._start_rollout(call)
        if call.path.startswith(names.ROLLOUT_READ) and call.method == b"GET":
            return await self._read_rollout(call)
        return _NOT_FOUND

    async def _start_rollout(self, call: _Call) -> Answer:
        order = _decode(call.body, _RolloutOrder)
        await self._operations.start_rollout(order.service, order.to, order.duration_s)
        return Answer(200, b"{}", _JSON)

    async def _read_rollout(self, call: _Call) -> Answer:
        service = _name_after(names.ROLLOUT_READ, call.path)
        rollout = await self._operations.read_rollout(service)
        body = msgspec.json.encode({"state": rollout.state, "to": rollout.to})
        return Answer(200, body, _JSON)

    async def _handle_heartbeat(self, call: _Call) -> Answer:
        heartbeat = _decode(call.body, _Beat)
        _check_address(heartbeat.address)
        announcement = Announcement(
            id=_name_after(names.HEARTBEAT, call.path),
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            sequence=heartbeat.sequence,
            is_leaving=heartbeat.state == names.STATE_DRAINING,
            is_reclaimable=heartbeat.spot,
            leaves_in=(heartbeat.leaves_ms or 0) / 1000,
            warmup=heartbeat.cold_remaining_ms / 1000,
            software=heartbeat.version,
            incarnation=heartbeat.born,
        )
        await self._operations.receive_announcement(announcement)
        return Answer(200, b"{}", _JSON)

    async def _handle_deregistration(self, call: _Call) -> Answer:
        upstream = _name_after(names.DEREGISTER, call.path)
        born = _decode(call.body, _Deregistration).born if call.body else None
        await self._operations.mark_gone(upstream, born)
        return Answer(200, b"{}", _JSON)


class DirectoryHandler:
    """Handles directory queries: the addresses to which callers connect."""

    def __init__(self, entry_directory: EntryDirectory, ttl_seconds: float):
        self._entry_directory = entry_directory
        self._ttl_seconds = ttl_seconds

    async def handle(self, exchange: Exchange) -> None:
        """Answer one query."""
        call = _Call.from_exchange(exchange)
        if call.path != names.RESOLVE:
            await exchange.answer(_NOT_FOUND)
            return
        zone = call.query.get("zone", [""])[0]
        addresses = self._entry_directory.entry_addresses(zone)
        if not addresses:
            failure = Failure(Code.NOT_READY, "No entry host is ready.")
            await exchange.answer(_error(503, failure))
            return
        answer = {
            "addresses": addresses,
            "ttl_s": self._ttl_seconds,
        }
        await exchange.answer(Answer(200, msgspec.json.encode(answer), _JSON))


class ReadinessHandler:
    """Handles the platform's readiness probes of an entry host."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def handle(self, exchange: Exchange) -> None:
        """Answer one probe."""
        if exchange.head.target.partition(b"?")[0] != names.READY.encode():
            await exchange.answer(_NOT_FOUND)
            return
        status = 200 if self._is_ready() else 503
        await exchange.answer(Answer(status, b"{}", _JSON))


def _decode(body: bytes, kind: type[_Message]) -> _Message:
    """Decode a message; raise `Failure` with `INVALID_REQUEST` on errors."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise Failure(Code.INVALID_REQUEST, str(error)) from error


def _check_address(address: str) -> None:
    """Raise `Failure` with `INVALID_REQUEST` unless an address can be connected to."""
    ip, _, port = address.rpartition(":")
    try:
        IPv4Address(ip)
    except AddressValueError as error:
        raise Failure(Code.INVALID_REQUEST, str(error)) from error
    if not 0 < int(port) <= _MAX_PORT:
        raise Failure(Code.INVALID_REQUEST, f"The port {port} doesn't exist.")


def _name_after(prefix: str, path: str) -> str:
    name = path[len(prefix) :]
    if not name:
        raise Failure(Code.INVALID_REQUEST, "The call names nothing.")
    return name


def _error(status: int, failure: Failure) -> Answer:
    body = msgspec.json.encode({"error": failure.code, "text": failure.text})
    return Answer(status, body, _RETRY_HEADERS if status == 503 else _JSON)
