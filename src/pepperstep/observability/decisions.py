"""Typed events of the relay's log: what was decided, by which inputs.

Each is logged by `absl.logging` as the argument of a line, and comes out as
fields of that line.
"""

import msgspec

__all__ = [
    "Decision",
    "DutyTaken",
    "EntryContact",
    "LeavingAcknowledged",
    "QuotaExceeded",
    "RequestChosen",
    "RequestEnded",
    "RequestFailed",
    "RequestRefused",
    "RetryAsked",
    "RolloutMoved",
    "TableInForce",
    "UpstreamHeld",
    "UpstreamLeaving",
    "UpstreamLimit",
    "UpstreamState",
    "UpstreamsPlanned",
    "UsageReported",
    "ZonePlan",
]


class Decision(msgspec.Struct, frozen=True, tag_field="event", omit_defaults=True):
    """Base of all events; times are in milliseconds."""


class RequestChosen(Decision, tag="request_chosen"):
    """An upstream was chosen for a request's attempt."""

    request: str
    attempt: int
    service: str
    upstream: str
    # Number of the upstream's announcement, and the version of the book.
    announcement: int
    upstreams_version: int
    routes_version: int
    candidates: int
    # Prompt tokens that it has to read, and when the first token is expected.
    missing_tokens: int = 0
    first_token_ms: int = 0
    # From the request's arrival.
    since_arrival_ms: int = 0


class RequestFailed(Decision, tag="attempt_failed"):
    """An attempt ended without an answer for the caller."""

    request: str
    attempt: int
    upstream: str
    # Whether the upstream may have run it.
    may_have_run: bool
    reason: str
    after_ms: int


class RetryAsked(Decision, tag="retry_asked"):
    """A request asked its host's retry budget for another attempt.

    Requests and retries are those of the service in the budget's window.
    """

    request: str
    service: str
    is_granted: bool
    requests: int
    retries: int
    # Retries that this host may send besides its share of the requests, by now, and the
    # number of hosts that it divides what all may send by.
    saved: float
    hosts: int


class RequestRefused(Decision, tag="request_refused"):
    """A request ended by this system's own answer."""

    request: str
    code: str
    may_have_run: bool
    routes_version: int
    reason: str
    after_ms: int
    retry_after_ms: int = 0
    workspace: str = ""
    prompt_tokens: int = 0
    # Whether the answer had begun and was broken off.
    was_begun: bool = False
    # The service that it was for, and how many of its upstreams this host counts on.
    service: str = ""
    upstreams: int = 0
    # Where no route led, the host and path that were asked for.
    target: str = ""


class QuotaExceeded(Decision, tag="quota_exceeded"):
    """A request is over its workspace's quota, as this host knows it.

    All figures are in the quota's unit.
    """

    request: str
    workspace: str
    cost: float
    # Left for all hosts together, and of this host's own part.
    left: float
    own_left: float
    # Kept for what hosts spend before they know of each other's spending.
    reserve: float
    # Hosts that share the quota.
    hosts: int
    # The host that grants what is left and refused it, "" without its answer; and
    # what it had left.
    asked: str
    left_there: float


class RequestEnded(Decision, tag="request_answered"):
    """A request got an upstream's answer."""

    request: str
    route: str
    workspace: str
    upstream: str
    attempts: int
    first_ms: int
    after_ms: int
    # Time that the route aims at, 0 for none, and the prompt's size.
    target_ms: int = 0
    prompt_tokens: int = 0


class TableInForce(Decision, tag="routes_in_force"):
    """A table of routes came in force on this host."""

    version: int
    version_before: int
    routes: int
    workspaces: int


class UpstreamState(Decision, tag="upstream_state"):
    """What this host believes of an upstream has changed."""

    upstream: str
    incarnation: int
    service: str
    # "working", "leaving", "silent" or "gone"; empty before it was known.
    state: str
    state_before: str
    # By whose word: a host's name, or what it was concluded from.
    told_by: str
    # The upstream's latest announcement, and its age.
    announcement: int
    announced_ms_ago: int
    upstreams_version: int


class UpstreamHeld(Decision, tag="upstream_held"):
    """This host leaves an upstream alone for a while."""

    upstream: str
    incarnation: int
    reason: str
    for_ms: int
    # The host that grants the upstream's permits and granted none, "" for this host's
    # own decision.
    asked: str = ""


class UpstreamLeaving(Decision, tag="upstream_leaving"):
    """An answer says that its upstream leaves, and this host hadn't been told."""

    request: str
    upstream: str
    incarnation: int
    service: str
    # Version of the book with that taken in.
    upstreams_version: int


class LeavingAcknowledged(Decision, tag="leaving_acknowledged"):
    """A control host is about to acknowledge that an upstream leaves or ends."""

    upstream: str
    incarnation: int
    service: str
    is_gone: bool
    # Whether this host had known it before.
    is_repeat: bool
    # Control hosts that have taken it in by now.
    known_by: list[str]
    # Since the announcement has arrived.
    after_ms: int


class UpstreamLimit(Decision, tag="upstream_limit"):
    """The rate limit that an upstream states has changed, as this host knows it.

    Limits are requests a second from all hosts together, None for no limit.
    """

    upstream: str
    incarnation: int
    service: str
    limit: float | None
    limit_before: float | None
    # By whose word: a host's name, or "answer" for the upstream's own answer here.
    told_by: str
    # Since the answer that stated it.
    stated_ms_ago: int


class DutyTaken(Decision, tag="duty_taken"):
    """This host acts for the whole system from now on."""

    holder: str
    fence: int


class UsageReported(Decision, tag="usage_reported"):
    """A window's sums were reported to the platform."""

    window: int
    fence: int
    requests: int
    workspaces: int
    # Lives of entry hosts that have counted something in it.
    lives: int


class ZonePlan(msgspec.Struct, frozen=True):
    """Upstreams that a zone shall have, and those that stand there."""

    zone: str
    steady: int
    reclaimable: int
    steady_standing: int
    reclaimable_standing: int
    # Whether it gives out no reclaimable ones now.
    is_dry: bool


class UpstreamsPlanned(Decision, tag="upstreams_planned"):
    """What a service's zones shall have has changed."""

    service: str
    # Upstreams that the work needs, at the most of late and at present.
    needed_at_peak: float
    needed_now: float
    zones: list[ZonePlan]


class RolloutMoved(Decision, tag="rollout_moved"):
    """A roll-out's next step, or its end, with what it rests on."""

    service: str
    to: str
    state: str
    # Part of the service's requests that the new version gets now.
    share: float
    # Since the order.
    after_s: float
    # Requests that ended on the new version.
    outcomes: int
    new_upstreams: int
    other_upstreams: int
    reason: str


class EntryContact(Decision, tag="entry_contact"):
    """An entry host was lost or found by a control host."""

    entry: str
    incarnation: int
    zone: str
    is_in_contact: bool
    # Entry hosts that are in contact now.
    count: int
