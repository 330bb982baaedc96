"""Resumed streams: which service and software version they go on at.

A caller that resumes a stream gets the rest of it from the version that began it, or a
refusal. So does a stream that goes on within one answer.
"""

from pepperstep.coordination import StreamOrigin, TableStore, UpstreamCatalog
from pepperstep.errors import Code, Failure
from pepperstep.relay.choice import Chooser
from pepperstep.relay.recorder import RelayRecorder
from pepperstep.relay.relayed_request import RelayedRequest
from pepperstep.relay.stream_origins import StreamOrigins

__all__ = ["Resumptions"]

# Time to retry a resumption that another host may be able to serve, or this one in a
# moment: about one round of the hosts' exchange of state.
_RETRY_AFTER_SECONDS = 0.3
# Time after the end of a stream's first attempt in which its caller resumes it.
_RETURN_SECONDS = 10.0


class Resumptions:
    """Binds requests for the rest of a stream to the software that began it."""

    def __init__(
        self,
        origins: StreamOrigins,
        tables: TableStore,
        catalog: UpstreamCatalog,
        chooser: Chooser,
        recorder: RelayRecorder,
    ):
        self._origins = origins
        self._tables = tables
        self._catalog = catalog
        self._chooser = chooser
        self._recorder = recorder

    async def bind(self, request: RelayedRequest) -> None:
        """Set a request's origin and service to those of the stream that it resumes.

        Raise `Failure` if they are unknown, as events of two versions must not be
        joined, or if the route doesn't lead to the service any more.
        """
        if request.origin is None:
            request.origin = await self._find_origin(request)
        if request.origin is None:
            self._recorder.record_resumption("unknown")
            text = "It isn't known at which software version the stream began."
            raise _refusal(text, _RETRY_AFTER_SECONDS)
        service = request.origin.service
        # The routes may have changed while the origin was asked for.
        services = self._tables.current.services
        shares = {share.service for share in request.route.shares}
        if service not in shares or service not in services:
            self._recorder.record_resumption("no service")
            raise _refusal(f"The route doesn't lead to {service} any more.", None)
        request.service = services[service]

    def check_upstreams_left(self, request: RelayedRequest) -> None:
        """Raise `Failure` if no upstream can go on with the stream of a bound request.

        A host that has just started knows no upstreams at first, and waits for them as
        it does for new requests.
        """
        origin = request.origin
        is_served = self._chooser.has_version(request.service, origin.software)
        if is_served or not self._catalog.all():
            self._recorder.record_resumption("bound")
            return
        self._recorder.record_resumption("no upstream")
        text = f"No upstream of version {origin.software} is left for the stream."
        raise _refusal(text, self._retry_after(origin))

    def may_go_on(self, request: RelayedRequest) -> bool:
        """Whether another attempt may go on with what a request has brought so far."""
        return request.origin is None or self._origins.is_certain(request.origin)

    async def _find_origin(self, request: RelayedRequest) -> StreamOrigin | None:
        if request.facts.resumes:
            return await self._origins.find(request)
        seconds = request.route.timeout + _RETURN_SECONDS
        return self._origins.only_version(request.service.name, seconds)

    def _retry_after(self, origin: StreamOrigin) -> float | None:
        """Return when to retry a stream whose version has no upstream here.

        Return None if this host knows that all of them are gone. Otherwise it may hear
        of one in a moment.
        """
        known = [
            each
            for each in self._catalog.all()
            if each.service == origin.service and each.software == origin.software
        ]
        if known and all(each.is_gone for each in known):
            return None
        return _RETRY_AFTER_SECONDS


def _refusal(text: str, retry_after: float | None) -> Failure:
    """Return the failure of a resumption that has not run."""
    return Failure(Code.NO_UPSTREAM, text, retry_after=retry_after)
