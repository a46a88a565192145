"""Catalogue of log events, whose numbers never change.

`docs/events.md` describes every event; a test checks that both agree.
"""

import enum


class Event(enum.Enum):
    """A numbered log event."""

    PROCESS_STARTED = 100
    PROCESS_READY = 101
    DRAIN_STARTED = 102
    DRAIN_FINISHED = 103
    STATE_DUMPED = 104
    TEXT_ACCEPTED = 200
    TEXT_REFUSED = 201
    TEXT_CONFLICT = 202
    PLATFORM_UNREACHABLE = 203
    PLATFORM_REACHED = 204
    CONFIG_ACCEPTED = 205
    CONFIG_REFUSED = 206
    ENTRY_SKIPPED = 207
    SETTINGS_RELOADED = 208
    SETTINGS_REFUSED = 209
    REQUEST_DISPATCHED = 300
    REQUEST_ENDED = 301
    REQUEST_FORWARDED = 302
    REQUEST_REFUSED = 303
    STREAM_RESUMED = 304
    CONNECT_RETRIED = 305
    TARGET_REJECTED = 306
    TARGET_CALL_FAILED = 307
    ANSWER_BROKEN = 308
    CALLER_GONE = 309
    LINES_DROPPED = 310
    TARGET_FAILED = 400
    TARGET_LEAVING = 401
    TARGET_STRAGGLING = 402
    TARGET_LISTED = 403
    TARGET_REMOVED = 404
    SUSPECT_RECORDED = 410
    SUSPECT_QUARANTINED = 411
    SUSPECT_CLEARED = 412
    SUSPECT_WITHDRAWN = 413
    PEER_LIVE = 500
    PEER_LOST = 501
    HAND_OVER_SENT = 502
    HAND_OVER_RECEIVED = 503
    HAND_OVER_FAILED = 504
    PEER_FETCH_FAILED = 505
    RELAY_FOLLOWED = 506
    RELAY_LOST = 507
    STORE_READING_STARTED = 508
    STORE_READING_STOPPED = 509
    INTERNAL_ERROR = 900

    @property
    def label(self) -> str:
        """The event's name in logs, for example `text-accepted`."""
        return self.name.lower().replace("_", "-")
