"""Typed events of the relay's log: decisions and their inputs.

An event is passed to `absl.logging` as the argument of a log line and is written as
fields of that line.
"""

import msgspec

__all__ = [
    "ContentSuspected",
    "Decision",
    "DrainEnded",
    "DutyTaken",
    "EntryContact",
    "LeavingAcknowledged",
    "PlacementRefused",
    "QuotaExceeded",
    "RequestAbandoned",
    "RequestChosen",
    "RequestCut",
    "RequestEnded",
    "RequestFailed",
    "RequestForwarded",
    "RequestRefused",
    "RequestScheduled",
    "RetryAsked",
    "RolloutMoved",
    "SchedulingUnavailable",
    "ShardCreated",
    "SignalReceived",
    "StreamOriginSought",
    "TableInForce",
    "UpstreamContactChanged",
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
    # Sequence number of the upstream's announcement, and version of the catalog.
    announcement: int
    upstreams_version: int
    routes_version: int
    candidates: int
    # Prompt tokens that the upstream must process, and expected time to first token.
    missing_tokens: int = 0
    first_token_ms: int = 0
    # Time since the request's arrival.
    since_arrival_ms: int = 0
    # Software version that the upstream announces.
    software: str = ""
    # For a stream that is resumed: the last event that the caller has, and the attempt
    # that brought the first one, as the caller states it.
    last_event: str = ""
    resumes: str = ""


class RequestFailed(Decision, tag="attempt_failed"):
    """An attempt ended without an answer for the caller."""

    request: str
    attempt: int
    upstream: str
    # Whether the upstream may have run the request.
    may_have_run: bool
    reason: str
    after_ms: int
    # Digest of the content, which is the same if a caller sends it again, "" if the
    # upstream can't have run it.
    content: str = ""
    # Digests of the prompt parts that it may share with other requests, likewise.
    parts: tuple[str, ...] = ()
    # Status of the upstream's answer, 0 without one, and whether that answer states
    # that the upstream hasn't run the request.
    status: int = 0
    states_not_run: bool = False


class RequestForwarded(Decision, tag="request_forwarded"):
    """A request was forwarded to another entry host, as this one is cut off."""

    request: str
    # Address at which the other host accepts requests.
    to: str
    # Status of its answer, 0 without one.
    status: int
    outcome: str
    may_have_run: bool
    # Time since the request's arrival.
    after_ms: int
    reason: str = ""


class RequestAbandoned(Decision, tag="request_abandoned"):
    """A caller left before the end of its answer."""

    request: str
    # Upstream of the latest attempt, "" before the first one.
    upstream: str
    attempts: int
    # Whether an attempt's answer was still to come or incomplete.
    is_in_flight: bool
    was_begun: bool
    # Time from the arrival until this host noticed it.
    after_ms: int


class RequestCut(Decision, tag="request_cut"):
    """A request's connection was closed because this host stopped."""

    request: str
    # Upstream of the latest attempt, "" before the first one.
    upstream: str
    attempts: int
    # Whether an attempt's answer was still to come or incomplete.
    is_in_flight: bool
    was_begun: bool
    # Time since the request's arrival.
    after_ms: int
    may_have_run: bool


class SignalReceived(Decision, tag="signal_received"):
    """This process got a signal."""

    signal: str
    # Whether it was stopping already.
    is_stopping: bool


class DrainEnded(Decision, tag="drain_ended"):
    """A stopping host has closed its connections, or its time for that is over."""

    after_ms: int
    # Connections that are cut, by what is lost: a request that is answered, or one that
    # isn't read or only partly read; and connections that aren't accepted.
    in_progress: int
    unread: int
    unaccepted: int


class StreamOriginSought(Decision, tag="stream_origin"):
    """A caller resumes a stream, and this host has looked for where it began."""

    request: str
    # The attempt that began it, as the caller states it.
    resumes: str
    is_known: bool
    # Whether its upstream can't have been another version at that time.
    is_certain: bool
    software: str
    upstream: str
    # Hosts that were asked, 0 if this host knew it.
    asked: int
    after_ms: int


class ContentSuspected(Decision, tag="content_suspected"):
    """A run of a content, or of a blamed prompt part, broke its connection."""

    # Digest, and the number of upstreams at which its runs broke.
    content: str
    losses: int
    request: str
    upstream: str
    service: str
    # Time for which it's refused.
    blocked_ms: int = 0
    is_part: bool = False


class RetryAsked(Decision, tag="retry_asked"):
    """A request asked its host's retry budget for another attempt.

    `requests` and `retries` are those of the service in the budget's window.
    """

    request: str
    service: str
    is_granted: bool
    requests: int
    retries: int
    # Retries that this host may currently send beyond its ratio of requests, and the
    # number of hosts that share the retries of the whole system.
    saved: float
    hosts: int


class RequestRefused(Decision, tag="request_refused"):
    """A request was answered with an error of this system."""

    request: str
    code: str
    may_have_run: bool
    routes_version: int
    reason: str
    after_ms: int
    retry_after_ms: int = 0
    workspace: str = ""
    prompt_tokens: int = 0
    # Whether the answer had already begun and was aborted.
    was_begun: bool = False
    # Service of the request, and how many of its upstreams this host considers usable.
    service: str = ""
    upstreams: int = 0
    # Requested host and path, if no route matches them.
    target: str = ""
    # Status sent to the caller, 0 if the answer was aborted.
    status: int = 0
    # Attempts that got a connection, and the upstream and the status of the latest
    # one's answer, "" and 0 if it brought none.
    attempts: int = 0
    upstream: str = ""
    upstream_status: int = 0


class QuotaExceeded(Decision, tag="quota_exceeded"):
    """A request exceeds its workspace's quota, as far as this host knows.

    All amounts are in the quota's unit.
    """

    request: str
    workspace: str
    cost: float
    # Remaining quota of all hosts together, and of this host's own share.
    left: float
    own_left: float
    # Reserve for what hosts spend before they learn of each other's spending.
    reserve: float
    # Hosts that share the quota.
    hosts: int
    # Host that grants the remaining quota and refused it, "" without an answer, and the
    # amount that this host had left.
    asked: str
    left_there: float


class RequestScheduled(Decision, tag="request_scheduled"):
    """The owner of a shard placed a request at an upstream."""

    request: str
    service: str
    shard: str
    # Host that decided.
    owner: str
    upstream: str
    # Prompt tokens that the upstream must process, and predicted time to the first
    # token, or to the whole answer of a plain service.
    missing_tokens: int
    expected_ms: int
    # Number of shards asked.
    asked: int
    workspace: str = ""
    # 0 is the most urgent.
    priority: int = 0


class PlacementRefused(Decision, tag="placement_refused"):
    """The owner of a shard refused a request, and no other shard took it."""

    request: str
    service: str
    shard: str
    owner: str
    workspace: str
    # 0 is the most urgent.
    priority: int
    # Limit that refused it: "no upstream", "late", "share" or "priority".
    reason: str
    # Predicted delay of the shard's best upstream at that moment.
    delay_ms: int
    retry_after_ms: int
    # Number of shards asked.
    asked: int
    # Elapsed fraction of the caller's usual time, above 0 after an earlier refusal.
    waited_share: float


class SchedulingUnavailable(Decision, tag="scheduling_unavailable"):
    """No owner answered for a request, so this host chooses its upstream alone."""

    request: str
    service: str
    # Shards whose owners were asked.
    shards: list[str]


class ShardCreated(Decision, tag="shard_created"):
    """This host has become the owner of a shard and starts with an empty state."""

    service: str
    shard: str
    # Unix time of the creation in milliseconds.
    epoch: int
    # Number of the shard's upstreams, and the first of them.
    upstreams: int
    first_upstreams: list[str]


class RequestEnded(Decision, tag="request_answered"):
    """A request was answered by an upstream."""

    request: str
    route: str
    workspace: str
    upstream: str
    attempts: int
    first_ms: int
    after_ms: int
    # Target latency of the route, 0 for none, and the size of the prompt.
    target_ms: int = 0
    prompt_tokens: int = 0
    # What marked the end of the upstream's answer: "length", "chunked" or "close".
    framing: str = ""
    # Status sent to the caller, which is the upstream's.
    status: int = 0


class TableInForce(Decision, tag="routes_in_force"):
    """A route table came into force on this host."""

    version: int
    version_before: int
    routes: int
    workspaces: int


class UpstreamState(Decision, tag="upstream_state"):
    """The state of an upstream, as this host sees it, has changed."""

    upstream: str
    incarnation: int
    service: str
    # "working", "leaving", "silent" or "gone"; `state_before` is empty for a new one.
    state: str
    state_before: str
    # Source of the state: a host's name, or the observation that implies it.
    told_by: str
    # Sequence number of the upstream's latest announcement, and its age.
    announcement: int
    announced_ms_ago: int
    upstreams_version: int


class UpstreamContactChanged(Decision, tag="upstream_contact"):
    """This host can't connect to a service's upstreams any more, or can again."""

    service: str
    is_in_contact: bool
    # Upstreams that were tried in vain, or until it could again.
    tried: int
    # The service's upstreams that take work, as known to this host.
    upstreams: int
    # Services from which this host is cut off now.
    services_cut_off: int


class UpstreamHeld(Decision, tag="upstream_held"):
    """This host sends no requests to an upstream for a while."""

    upstream: str
    incarnation: int
    reason: str
    for_ms: int
    # Host that grants the upstream's permits and refused one, "" for a decision of this
    # host itself.
    asked: str = ""


class UpstreamLeaving(Decision, tag="upstream_leaving"):
    """An answer states that its upstream leaves, which this host didn't know yet."""

    request: str
    upstream: str
    incarnation: int
    service: str
    # Version of the catalog that includes the change.
    upstreams_version: int


class LeavingAcknowledged(Decision, tag="leaving_acknowledged"):
    """A control host is about to acknowledge that an upstream leaves or has ended."""

    upstream: str
    incarnation: int
    service: str
    is_gone: bool
    # Whether this host knew of the departure before.
    is_repeat: bool
    # Control hosts that have recorded the departure so far.
    known_by: list[str]
    # Time since the arrival of the announcement.
    after_ms: int


class UpstreamLimit(Decision, tag="upstream_limit"):
    """The rate limit that an upstream states has changed, as this host sees it.

    Limits are in requests per second from all hosts together, None for no limit.
    """

    upstream: str
    incarnation: int
    service: str
    limit: float | None
    limit_before: float | None
    # Source of the limit: a host's name, or "answer" for an answer to this host.
    told_by: str
    # Time since the answer that stated the limit.
    stated_ms_ago: int


class DutyTaken(Decision, tag="duty_taken"):
    """This host has acquired the lease for the duties of a single host."""

    holder: str
    fence: int


class UsageReported(Decision, tag="usage_reported"):
    """The usage of an accounting window was reported to the platform."""

    window: int
    fence: int
    requests: int
    workspaces: int
    # Incarnations of entry hosts with usage in the window.
    lives: int


class ZonePlan(msgspec.Struct, frozen=True):
    """Desired and existing upstreams of a service in a zone."""

    zone: str
    steady: int
    reclaimable: int
    steady_standing: int
    reclaimable_standing: int
    # Whether the zone currently has no capacity for reclaimable upstreams.
    is_dry: bool


class UpstreamsPlanned(Decision, tag="upstreams_planned"):
    """The desired upstreams of a service have changed."""

    service: str
    # Upstreams required by the load, at its recent peak and at present.
    needed_at_peak: float
    needed_now: float
    zones: list[ZonePlan]


class RolloutMoved(Decision, tag="rollout_moved"):
    """A roll-out moved to its next step or ended; the fields hold the inputs."""

    service: str
    to: str
    state: str
    # Share of the service's requests that the new version gets.
    share: float
    # Time since the order of the roll-out.
    after_s: float
    # Requests that have ended on the new version.
    outcomes: int
    new_upstreams: int
    other_upstreams: int
    reason: str


class EntryContact(Decision, tag="entry_contact"):
    """A control host lost or regained contact with an entry host."""

    entry: str
    incarnation: int
    zone: str
    is_in_contact: bool
    # Number of entry hosts in contact.
    count: int
