"""What the HTTP interface needs of the host that it belongs to.

`pepperstep.node.Node` must have the members of `EntryNode`; what operators ask
for may stand on the node or on an object of its own, as `Operators`.
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
    "Accepted",
    "ConfigurationSource",
    "EntryNode",
    "Operators",
    "RequestSource",
    "UpstreamRegistry",
]


class Accepted(Protocol):
    """A request that will be answered."""

    @property
    def id(self) -> str:
        """Id of the request, of an earlier one if it had the same key."""


class RequestSource(Protocol):
    """Requests as callers hand them in and read them."""

    async def submit(self, request: Request) -> Accepted:
        """Accept a request, or find the earlier one of its idempotency key.

        Raise `Failure` if it isn't accepted; it has not run then.
        """

    async def cancel(self, request_id: str, workspace: str) -> bool:
        """Stop a request; return whether it was found."""

    def read(
        self, request_id: str, workspace: str, position: int = 0
    ) -> AsyncGenerator[AnswerPart, None]:
        """Yield the answer's parts from token `position` on, then the outcome."""


class UpstreamRegistry(Protocol):
    """Leases of upstreams."""

    def announce(
        self, upstream: Upstream, sequence: int, token: str = "", held: float = 0.0
    ) -> Lease:
        """Renew a lease; `token` came with the last one, `held` seconds ago."""


class EntryNode(Protocol):
    """The host as callers and upstreams meet it."""

    host: Host
    timers: Timers
    directory: Directory
    registry: UpstreamRegistry
    requests: RequestSource

    @property
    def configuration(self) -> Configuration:
        """The configuration in force, of revision 0 while none is known."""

    def reasons_not_ready(self) -> list[str]:
        """Return why this host should get no requests now."""


class ConfigurationSource(Protocol):
    """The configuration's documents and how they change."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""

    def text_of(self, document: str) -> str:
        """Return the text of the base or of a site's overlay, "" for none."""

    async def apply_change(self, change: Change, timeout: float) -> ChangeAnswer:
        """Return how the change ended; raise `Failure` with `NO_QUORUM`."""


class Operators(Protocol):
    """What operators ask of a host."""

    events: EventLog
    explanations: Explanations

    @property
    def store(self) -> ConfigurationSource:
        """The configuration's documents."""

    def status(self) -> StatusView:
        """Return the state of this host."""

    def hosts(self) -> list[HostView]:
        """Return the hosts that this one knows, itself included."""

    def upstreams(self) -> list[UpstreamView]:
        """Return the upstreams with a lease, leaving ones included."""

    async def drain(self, host: str) -> None:
        """Let a host leave: it takes nothing new and ends what it has.

        Return once the host has agreed. Raise `Failure` with `UNKNOWN_NAME` or
        `PEER_UNREACHABLE`.
        """
