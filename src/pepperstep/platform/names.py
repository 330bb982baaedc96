"""The platform's names of headers, paths and values in its messages."""

__all__ = [
    "ANSWERED_REQUEST",
    "ATTEMPT",
    "AUTHORIZATION",
    "CONTRACT_POOL",
    "CONFIG_READ",
    "CONFIG_REPLACE",
    "DEADLINE",
    "DEREGISTER",
    "END_TO_END",
    "EXPECT_REPLICA",
    "FENCE",
    "HEARTBEAT",
    "HOLDER",
    "KIND_SAFE",
    "KIND_STREAM",
    "KIND_UNSAFE",
    "LAST_EVENT",
    "LENGTH_HINT",
    "NOT_EXECUTED",
    "PARTS",
    "PRIORITY",
    "READY",
    "REPLICA",
    "RESOLVE",
    "ROLLOUT_READ",
    "ROLLOUT_START",
    "PREFIX",
    "RESERVED",
    "RESUMES",
    "SCALE",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVES_CONTROL",
    "SERVES_DIRECTORY",
    "SERVES_EDGE",
    "STATE_DRAINING",
    "STATE_READY",
    "TENANT",
    "TOKENS",
    "UNIT_TOKENS",
    "USAGE",
]

# Contract of deployments whose entry hosts share the upstreams' connections.
CONTRACT_POOL = "pool"

# Headers of requests.
ATTEMPT = b"pepperstep-attempt-id"
ANSWERED_REQUEST = ATTEMPT
AUTHORIZATION = b"authorization"
DEADLINE = b"pepperstep-deadline-ms"
EXPECT_REPLICA = b"pepperstep-expect-replica"
LAST_EVENT = b"last-event-id"
LENGTH_HINT = b"pepperstep-length-hint"
# Ids and sizes of the parts of the prompt.
PARTS = b"pepperstep-prompt-prefix"
PRIORITY = b"pepperstep-request-priority"
# Caller's attempt that brought the first event of a stream that is resumed.
RESUMES = b"resumes"
TENANT = b"pepperstep-tenant"
# Number of prompt tokens, and maximum number of answer tokens.
TOKENS = b"pepperstep-token-counts"
# Headers of requests that no `Connection` header removes, beside those with the prefix.
PREFIX = b"pepperstep-"
END_TO_END = frozenset(
    (b"host", b"content-type", b"content-length", LAST_EVENT, RESUMES)
)
# Headers that only pepperstep may set; those from callers are dropped.
RESERVED = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        EXPECT_REPLICA,
        PRIORITY,
        TENANT,
        b"kv-fetch",
        b"kv-from",
        b"pepperstep-expect-version",
        b"pepperstep-hold",
        b"pepperstep-kv-backup",
        b"pepperstep-pin-ms",
    )
)

# Headers of answers.
NOT_EXECUTED = b"pepperstep-not-executed"
REPLICA = b"pepperstep-replica-id"
# Rate limit of a replica in requests a second, for all hosts together.
SERVER_LIMIT = b"server-limit"
# Whether the replica is leaving.
SERVER_LEAVING = b"server-leaving"

# Headers of calls to the platform.
FENCE = b"pepperstep-fencing-token"
HOLDER = b"pepperstep-duty-holder"

# Paths of the calls that pepperstep answers.
CONFIG_READ = "/-/Config.Read"
CONFIG_REPLACE = "/-/Config.Replace"
DEREGISTER = "/-/Replicas.Deregister/"
HEARTBEAT = "/-/Replicas.Heartbeat/"
READY = "/-/ready"
RESOLVE = "/-/resolve"
ROLLOUT_READ = "/-/Rollouts.Read/"
ROLLOUT_START = "/-/Rollouts.Start"

# Paths of the calls that the platform answers.
SCALE = b"/scale"
USAGE = b"/usage"

# Values in bodies and settings.
KIND_SAFE = "safe"
KIND_STREAM = "stream"
KIND_UNSAFE = "unsafe"
SERVES_CONTROL = "control"
SERVES_DIRECTORY = "directory"
SERVES_EDGE = "edge"
STATE_DRAINING = "draining"
STATE_READY = "ready"
UNIT_TOKENS = "token_stream"
