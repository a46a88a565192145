"""Names in the platform's protocol: headers, calls and keys.

They are used in this package only; a test searches the rest of the sources for
each name in HEADERS, CALLS and KEYS.
"""

# Headers of requests and answers, in lower case as ASGI gives them.
ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
EXPECT_INSTANCE = "x-expect-instance"
EXPECT_VERSION = "x-expect-version"
# The client account, sent to targets in place of the caller's key.
ACCOUNT = "x-tenant"
MODEL = "x-model"
# Version of the weights, in answers and as the first line of an event from
# which on it is another one.
WEIGHT_VERSIONS = "x-weight-versions"
# Number of prompt tokens and maximum number of output tokens, comma-separated.
TOKEN_COUNT = "x-token-count"
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
# Attempt that brought the first event of a stream that a client takes up again.
RESUMES = "resumes"
NOT_EXECUTED = "x-not-executed"
# Requests a second that a target in need takes from all instances together.
SERVER_LIMIT = "server-limit"
# Rejections in a second for want of room that a brittle target survives.
SERVER_BRITTLE = "server-brittle"
# 1 in all answers of a target that leaves, whatever the store lists.
SERVER_LEAVING = "server-leaving"
# In a refusal of a target: the seconds for which it wants nothing from the
# instance that it refuses.
RETRY_AFTER = "retry-after"
# Present in every answer created by a target; contains the digest of the
# answer.
SERVER_STAMP = "x-server-stamp"
# In all answers of the store; rises by one when it is restored from an older
# copy.
STORE_ERA = "store-era"
KV_FROM = "kv-from"
KV_FETCH = "kv-fetch"
KV_HOLD = "x-kv-hold"
KV_BACKUP = "x-kv-backup"
PIN_MS = "x-pin-ms"

HEADERS = (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    ACCOUNT,
    MODEL,
    WEIGHT_VERSIONS,
    TOKEN_COUNT,
    PROMPT_PREFIX,
    NOT_EXECUTED,
    SERVER_LIMIT,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_STAMP,
    STORE_ERA,
    KV_FROM,
    KV_FETCH,
    KV_HOLD,
    KV_BACKUP,
    PIN_MS,
)

# Headers that only the system sets; values sent by callers are not forwarded.
SYSTEM_HEADERS = frozenset((
    DEADLINE_MS, EXPECT_INSTANCE, EXPECT_VERSION, ACCOUNT, KV_FROM, KV_FETCH,
    KV_HOLD, KV_BACKUP, PIN_MS,
))  # fmt: skip

# Paths of the platform's readiness check, of the store's calls, and of calls to
# targets: the prompt parts that one keeps, and what it says of itself.
READY_PATH = "/-/readyz"
RANGE_CALL = "/-/kv-range"
WATCH_CALL = "/-/kv-watch"
PARTS_CALL = "/-/kv-list"
REPORT_CALL = "/-/report"
CALLS = (READY_PATH, RANGE_CALL, WATCH_CALL, PARTS_CALL, REPORT_CALL)

# Keys and key prefixes in the store.
CONFIG_KEY = "op/config"
CONFIG_PREFIX = "op/"
# Followed by a zone whose targets are to get nothing until the key is removed.
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
KEYS = (CONFIG_KEY, CONFIG_PREFIX, EVACUATION_PREFIX, TARGET_PREFIX)
