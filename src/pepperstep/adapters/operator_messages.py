"""JSON messages of the operator API (docs/INTERFACES.md).

They are shared by the HTTP API and the command-line tool. Further answers are the
views of `pepperstep.observability` and `ChangeAnswer`.
"""

from typing import Annotated

import msgspec

from pepperstep.observability import Event
from pepperstep.observability.views import (
    DocumentView,
    HostView,
    UpstreamView,
    ValueView,
)

__all__ = [
    "OPERATOR_PREFIX",
    "ChangeBody",
    "ConfigurationView",
    "DrainBody",
    "EventsView",
    "HostsView",
    "UpstreamsView",
]

OPERATOR_PREFIX = "/operator/v1/"

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class ChangeBody(msgspec.Struct):
    """A change that replaces the text of a configuration document."""

    # "base", or the name of a site for its overlay.
    document: _Name
    # TOML; "" removes the overlay.
    text: str
    # Revision of the configuration that the change is based on.
    from_revision: _Revision
    # Idempotency key: a resend carries the same id.
    change_id: _Name


class ConfigurationView(msgspec.Struct):
    """The configuration in force, with the origin of each value."""

    revision: int
    values: list[ValueView]
    documents: list[DocumentView]


class HostsView(msgspec.Struct):
    """The hosts known to the answering host."""

    hosts: list[HostView]


class UpstreamsView(msgspec.Struct):
    """The upstreams known to the answering host."""

    upstreams: list[UpstreamView]


class EventsView(msgspec.Struct):
    """Events of the answering host, oldest first."""

    events: list[Event]


class DrainBody(msgspec.Struct):
    """A request to drain a host."""

    host: _Name
