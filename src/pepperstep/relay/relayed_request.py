"""A caller's request while this host forwards it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pepperstep.coordination import StreamOrigin, UpstreamKey
from pepperstep.coordination.suspects import Suspicion
from pepperstep.entities.routes import Route, Service, Workspace
from pepperstep.ports.exchange import Answer, Exchange, Framing
from pepperstep.ports.relaying import RequestFacts
from pepperstep.relay.choice import Choice
from pepperstep.relay.contents import content_digest, part_digests
from pepperstep.relay.events import EventSplitter

__all__ = ["RelayedRequest"]


@dataclass(slots=True)
class RelayedRequest:
    """A caller's request and the state of its attempts."""

    exchange: Exchange
    facts: RequestFacts
    route: Route
    service: Service
    # Workspace of the caller, None on public routes.
    workspace: Workspace | None
    # 0 is the most urgent.
    priority: int
    # Monotonic time by which the caller must have the complete answer.
    deadline: float
    # Whether another entry host has forwarded it, and has admitted it before.
    is_forwarded: bool = False
    is_admitted_elsewhere: bool = False
    # Cost charged to the workspace's quota, in the quota's unit.
    cost: float = 0.0
    # Seconds that the caller has presumably waited before, None until estimated.
    waited: float | None = None
    tried: set[UpstreamKey] = field(default_factory=set)
    # Attempts that got a connection to an upstream.
    attempt_count: int = 0
    # Whether an upstream may have run the request.
    may_have_run: bool = False
    is_in_flight: bool = False
    is_answered: bool = False
    # Whether this host has stopped working on it, as the host ends.
    is_ended: bool = False
    # Address of the entry host that answered it for this one, "" if none did.
    answered_by: str = ""
    # Whether the run was counted for usage accounting.
    is_counted: bool = False
    # An upstream's error answer, sent to the caller if no retry succeeds.
    failure_answer: Answer | None = None
    # The latest attempt's choice, and the monotonic time at which the attempt started.
    choice: Choice | None = None
    attempt_started_at: float = 0.0
    # Called with the upstream's id and a reason when an attempt fails.
    on_attempt_failed: Callable[[str, str], None] = lambda upstream, reason: None
    # Monotonic time of the answer's first byte, 0 until then.
    first_byte_at: float = 0.0
    # Whether the upstream still has to prefill the prompt.
    is_prefill_pending: bool = False
    events: EventSplitter = field(default_factory=EventSplitter)
    # The software that began the stream, None until its first event.
    origin: StreamOrigin | None = None
    # Whether the attempt's own first event has been recorded.
    is_origin_recorded: bool = False
    # Framing of the latest answer's body, None before an answer, and its status.
    framing: Framing | None = None
    upstream_status: int = 0
    # Whether that answer states that the upstream hasn't run the request.
    states_not_run: bool = False
    # Status sent to the caller from an upstream's answer, 0 until then.
    sent_status: int = 0
    # What was known of its features when the latest attempt began, without those that
    # nothing was known of.
    suspicions: dict[int, Suspicion] = field(default_factory=dict)
    # Monotonic time at which the latest attempt began to be answered, 0 until then.
    begun_at: float = 0.0
    _content: int | None = None
    _parts: tuple[int, ...] | None = None

    @property
    def workspace_name(self) -> str:
        """Name of the caller's workspace, "" on public routes."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def is_resumable_stream(self) -> bool:
        """Whether another upstream may go on with the answer."""
        return self.route.is_stream and self.route.is_resumable

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has the beginning of the stream already."""
        has_begun = bool(self.facts.last_event_id or self.facts.resumes)
        return has_begun and self.is_resumable_stream

    @property
    def software(self) -> str | None:
        """Version at which the stream has to go on, None if any may serve it."""
        return None if self.origin is None else self.origin.software

    @property
    def content(self) -> int:
        """Digest of what is the same if a caller sends the content again."""
        if self._content is None:
            self._content = content_digest(self.workspace_name, self.exchange)
        return self._content

    @property
    def parts(self) -> tuple[int, ...]:
        """Digests of the prompt parts that it may share with other requests."""
        if self._parts is None:
            self._parts = part_digests(self.facts.prompt_parts)
        return self._parts

    @property
    def features(self) -> tuple[int, ...]:
        """Digests of its content and of its prompt parts."""
        return (self.content, *self.parts)

    @property
    def name(self) -> str:
        """The request's id in logs."""
        return self.facts.attempt_id.decode("latin-1")
