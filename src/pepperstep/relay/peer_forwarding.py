"""Forwarding of requests to other entry hosts, which reach the upstreams.

A host that is cut off from all upstreams forwards its callers' requests to other entry
hosts. Each accepts them at an address of its own, where callers don't connect, and
treats them as its own callers' requests, but never forwards them again.

A request that the sending host has admitted, because it learned of the cut only while
it served the request, isn't charged to quotas or counted as a first attempt twice.
"""

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from urllib.parse import quote, unquote

from absl import logging

from pepperstep.coordination import StreamOrigin
from pepperstep.observability.decisions import RequestForwarded
from pepperstep.observability.relay_metrics import RelayMetrics, StatusSource
from pepperstep.ports import Timers
from pepperstep.ports.exchange import (
    Answer,
    AnswerHead,
    ConnectionFault,
    Exchange,
    RequestHead,
    UpstreamConnection,
    UpstreamConnector,
)
from pepperstep.ports.relaying import RelayWire
from pepperstep.relay.answers import AnswerForwarder, is_event_stream
from pepperstep.relay.attempt import Outcome
from pepperstep.relay.promises import has_mark, is_promise, without_mark
from pepperstep.relay.relayed_request import RelayedRequest

__all__ = ["Declined", "ForwardedRequests", "PeerForwarder"]

# Headers of forwarded requests: the version of the sending host's routes and, if it has
# admitted the request, the number of its attempts.
_ROUTES_VERSION = b"forwarded-routes-version"
_ATTEMPTS = b"forwarded-attempts"
# Headers of resumed streams in place of the routes version: that version, and the
# service and the software version that began the stream.
_RESUMED_ROUTES_VERSION = b"forwarded-resumed-routes-version"
_ORIGIN = b"forwarded-origin"
_OWN_HEADERS = (_ROUTES_VERSION, _ATTEMPTS, _RESUMED_ROUTES_VERSION, _ORIGIN)
# A routes version that no host has. Hosts of earlier releases, which would resume a
# stream at any software version, decline requests with it.
_UNREACHED_VERSION = 2**63 - 1
# Status with which a host declines a forwarded request, which it hasn't run then.
_DECLINED_STATUS = 421
# Hosts that a request is forwarded to, one after the other, until one accepts it.
_MAX_HOSTS = 4
# Pause for a service after a host declined its requests or no host accepted one, and
# for all services after a host couldn't be connected to.
_DECLINED_PAUSE_SECONDS = 0.3
_UNREACHABLE_PAUSE_SECONDS = 2.0
_CONNECT_TIMEOUT_SECONDS = 0.3
# Requests of other hosts that a host works on at a time. Its own callers' requests have
# no such limit, so that they aren't refused for others.
_MAX_ACCEPTED = 64


class Declined(Exception):
    """This host can't serve a forwarded request, which has not run."""


class PeerForwarder:
    """Forwards callers' requests; `hosts` returns the addresses that accept them."""

    def __init__(
        self,
        wire: RelayWire,
        connector: UpstreamConnector,
        hosts: Callable[[], Iterable[str]],
        routes_version: Callable[[], int],
        metrics: RelayMetrics,
        timers: Timers,
        rng: random.Random,
    ):
        self._wire = wire
        self._connector = connector
        self._hosts = hosts
        self._routes_version = routes_version
        self._metrics = metrics
        self._timers = timers
        self._rng = rng
        self._answers = AnswerForwarder(wire, self._record_first_byte)
        self._in_flight: Counter[str] = Counter()
        # By host and service; "" stands for all of them.
        self._paused_until: dict[tuple[str, str], float] = {}

    async def forward(self, request: RelayedRequest, *, is_admitted: bool) -> Outcome:
        """Forward a request and its answer, or return why there is none.

        `is_admitted` says whether this host has admitted the request. Raise
        `CallerGone` if the caller disconnects.
        """
        service = request.service.name
        if self._is_paused("", service):
            return Outcome.NOT_RUN
        for _ in range(_MAX_HOSTS):
            host = self._choose_host(service)
            if host is None:
                break
            outcome = await self._forward_to(host, request, is_admitted)
            if outcome is not Outcome.NOT_RUN:
                return outcome
        self._pause("", service, _DECLINED_PAUSE_SECONDS)
        return Outcome.NOT_RUN

    def _choose_host(self, service: str) -> str | None:
        """Return the host with the fewest requests of this host, a random one of them.

        Return None if there's none that isn't paused.
        """
        hosts = [
            host
            for host in self._hosts()
            if not self._is_paused(host, service) and not self._is_paused(host, "")
        ]
        self._rng.shuffle(hosts)
        return min(hosts, key=lambda host: self._in_flight[host], default=None)

    async def _forward_to(
        self, host: str, request: RelayedRequest, is_admitted: bool
    ) -> Outcome:
        try:
            connection = await self._connector.connect(host, _CONNECT_TIMEOUT_SECONDS)
        except ConnectionFault as fault:
            self._pause(host, "", _UNREACHABLE_PAUSE_SECONDS)
            self._record(request, host, 0, Outcome.NOT_RUN, fault.text)
            return Outcome.NOT_RUN
        self._in_flight[host] += 1
        try:
            return await self._exchange(host, connection, request, is_admitted)
        except ConnectionFault as fault:
            request.is_in_flight = False
            request.may_have_run = request.may_have_run or fault.was_sent
            outcome = Outcome.FAILED if fault.was_sent else Outcome.NOT_RUN
            self._record(request, host, 0, outcome, fault.text)
            return outcome
        finally:
            self._in_flight[host] -= 1
            connection.close()

    async def _exchange(
        self,
        host: str,
        connection: UpstreamConnection,
        request: RelayedRequest,
        is_admitted: bool,
    ) -> Outcome:
        request.is_in_flight = True
        sent = self._request_head(request, is_admitted)
        head = await connection.send(sent, request.exchange.body)
        if head.status == _DECLINED_STATUS:
            request.is_in_flight = False
            self._pause(host, request.service.name, _DECLINED_PAUSE_SECONDS)
            self._record(request, host, head.status, Outcome.NOT_RUN)
            return Outcome.NOT_RUN
        was_refused = has_mark(head)
        is_unproven = not was_refused and not request.route.is_repeatable
        # An upstream may have run an earlier attempt, and a stream may have begun.
        contradicts = is_promise(head.status) and (request.may_have_run or is_unproven)
        contradicts |= request.exchange.has_begun and not is_event_stream(head)
        request.may_have_run = request.may_have_run or not was_refused
        if contradicts:
            request.is_in_flight = False
            self._record(request, host, head.status, Outcome.FAILED)
            return Outcome.FAILED
        await self._answers.forward(request, connection, without_mark(head))
        request.is_in_flight = False
        request.is_answered = True
        request.answered_by = host
        self._record(request, host, head.status, Outcome.ANSWERED)
        return Outcome.ANSWERED

    def _request_head(self, request: RelayedRequest, is_admitted: bool) -> RequestHead:
        wait = request.deadline - self._timers.now()
        head = self._wire.write_forwarded(
            _without_own_headers(request.exchange.head), wait, request.events.last_id
        )
        version = b"%d" % self._routes_version()
        headers = [(_ROUTES_VERSION, version)]
        if request.origin is not None:
            headers = [
                (_ROUTES_VERSION, b"%d" % _UNREACHED_VERSION),
                (_RESUMED_ROUTES_VERSION, version),
                (_ORIGIN, _encode_origin(request.origin)),
            ]
        if is_admitted:
            headers.append((_ATTEMPTS, b"%d" % request.attempt_count))
        return RequestHead(head.method, head.target, (*head.headers, *headers))

    def _record_first_byte(self, request: RelayedRequest) -> None:
        request.first_byte_at = request.first_byte_at or self._timers.now()

    def _pause(self, host: str, service: str, seconds: float) -> None:
        self._paused_until[host, service] = self._timers.now() + seconds

    def _is_paused(self, host: str, service: str) -> bool:
        return self._paused_until.get((host, service), 0.0) > self._timers.now()

    def _record(
        self,
        request: RelayedRequest,
        host: str,
        status: int,
        outcome: Outcome,
        reason: str = "",
    ) -> None:
        self._metrics.note_forwarded(outcome)
        if outcome is Outcome.ANSWERED:
            self._metrics.note_status(StatusSource.PEER, status)
        age = self._timers.now() - request.exchange.arrived_at
        event = RequestForwarded(
            request=request.name,
            to=host,
            status=status,
            outcome=outcome,
            reason=reason,
            may_have_run=request.may_have_run,
            after_ms=round(1000 * age),
        )
        logging.info("forwarding: %s", event)


class ForwardedRequests:
    """Accepts requests that other entry hosts forward.

    `serve` answers a request, with the number of attempts of the sending host, None if
    it hasn't admitted the request, and with the origin of the stream that it resumes,
    None for a new one; it raises `Declined` if it can't. `may_accept` returns whether
    this host takes them at all. `now` returns the monotonic time.
    """

    def __init__(
        self,
        serve: Callable[[Exchange, int | None, StreamOrigin | None], Awaitable[None]],
        may_accept: Callable[[], bool],
        routes_version: Callable[[], int],
        now: Callable[[], float],
    ):
        self._serve = serve
        self._may_accept = may_accept
        self._routes_version = routes_version
        self._now = now
        self.in_flight = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, or decline it; raise `CallerGone` if the sender leaves.

        A request is declined if this host has older routes than the sender, since a
        request must not be handled by routes that were replaced before.
        """
        self.in_flight += 1
        try:
            await self._accept(exchange)
        except Declined:
            await exchange.answer(Answer(_DECLINED_STATUS))
        finally:
            self.in_flight -= 1

    async def _accept(self, exchange: Exchange) -> None:
        head = exchange.head
        origin = _decode_origin(head.first(_ORIGIN), self._now())
        version_header = _ROUTES_VERSION if origin is None else _RESUMED_ROUTES_VERSION
        is_behind = _number_in(head, version_header) > self._routes_version()
        if is_behind or self.in_flight > _MAX_ACCEPTED or not self._may_accept():
            raise Declined
        is_admitted = bool(head.first(_ATTEMPTS))
        attempts = _number_in(head, _ATTEMPTS) if is_admitted else None
        exchange.head = _without_own_headers(head)
        await self._serve(exchange, attempts, origin)


def _number_in(head: RequestHead | AnswerHead, name: bytes) -> int:
    """Return the number in a header, 0 without one."""
    value = head.first(name)
    return int(value) if value.isdigit() else 0


def _without_own_headers(head: RequestHead) -> RequestHead:
    headers = tuple(each for each in head.headers if each[0] not in _OWN_HEADERS)
    return RequestHead(head.method, head.target, headers)


def _encode_origin(origin: StreamOrigin) -> bytes:
    """Return the service and the software version of a stream as a header's value."""
    parts = (origin.service, origin.software)
    return " ".join(quote(each, safe="") for each in parts).encode()


def _decode_origin(value: bytes, now: float) -> StreamOrigin | None:
    """Return the origin in a header received at `now`, None without one.

    The sending host has checked that it's certain, so the upstream is left out.
    """
    service, separator, software = value.decode("latin-1").partition(" ")
    if not separator:
        return None
    return StreamOrigin(unquote(service), unquote(software), ("", 0), now)
