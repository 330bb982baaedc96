"""Interfaces that the HTTP API requires of its host.

`pepperstep.node.Node` implements `EntryNode`; `Operators` may be implemented by the
node or by a separate object.
"""

from collections.abc import AsyncGenerator
from typing import Protocol

from pepperstep.configuration import Change, ChangeAnswer, Configuration
from pepperstep.entities import Host, Request, Upstream
from pepperstep.membership import Lease
from pepperstep.observability import EventLog
from pepperstep.observability.explanations import Explanations
from pepperstep.observability.views import HostView, StatusView, UpstreamView
from pepperstep.ports import Timers
from pepperstep.ports.directory import Directory
from pepperstep.requests import AnswerPart

__all__ = [
    "AcceptedRequest",
    "ConfigurationSource",
    "EntryNode",
    "Operators",
    "RequestSource",
    "UpstreamRegistry",
]


class AcceptedRequest(Protocol):
    """A request that was accepted."""

    @property
    def id(self) -> str:
        """Id of the request, or of the earlier one with the same idempotency key."""


class RequestSource(Protocol):
    """Accepts callers' requests and gives access to their answers."""

    async def submit(self, request: Request) -> AcceptedRequest:
        """Accept a request, or return the earlier one with its idempotency key.

        Raise `Failure` if it's refused; it has not run in this case.
        """

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Cancel a request; return whether it was found."""

    def read(
        self, request_id: str, workspace: str, position: int = 0
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the answer's parts starting at token `position`, then the outcome."""


class UpstreamRegistry(Protocol):
    """Leases of upstreams."""

    def announce(
        self, upstream: Upstream, sequence: int, token: str = "", held: float = 0.0
    ) -> Lease:
        """Renew a lease; `token` is from the last one, granted `held` seconds ago."""


class EntryNode(Protocol):
    """The parts of a host that serve callers and upstreams."""

    host: Host
    timers: Timers
    directory: Directory
    registry: UpstreamRegistry
    requests: RequestSource

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; its revision is 0 before any is known."""

    def reasons_not_ready(self) -> list[str]:
        """Return the reasons why this host isn't ready, none if it's ready."""


class ConfigurationSource(Protocol):
    """Reads and changes the documents of the configuration."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""

    def text_of(self, document: str) -> str:
        """Return the text of the base or a site's overlay, "" if it doesn't exist."""

    async def apply_change(self, change: Change, timeout: float) -> ChangeAnswer:
        """Apply a change and return its result; raise `Failure` with `NO_QUORUM`."""


class Operators(Protocol):
    """The parts of a host that serve operators."""

    events: EventLog
    explanations: Explanations

    @property
    def store(self) -> ConfigurationSource:
        """The configuration's documents."""

    def status(self) -> StatusView:
        """Return the state of this host."""

    def hosts(self) -> list[HostView]:
        """Return the hosts known to this one, including itself."""

    def upstreams(self) -> list[UpstreamView]:
        """Return the upstreams with a lease, including leaving ones."""

    async def drain(self, host: str) -> None:
        """Drain a host: it accepts no new requests and finishes in-flight ones.

        Return once the host has acknowledged the order. Raise `Failure` with
        `UNKNOWN_NAME` or `PEER_UNREACHABLE`.
        """
