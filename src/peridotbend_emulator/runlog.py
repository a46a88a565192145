"""Counts the requests that a stand-in ran, by idempotency key."""

import collections
import json

from peridotbend_emulator.serving import Call


class RunLog:
    """Counts runs by key and optionally appends each key to a file.

    The file survives a killed process, so that a test can count the runs of a
    request across processes and restarts.
    """

    def __init__(self, path: str | None = None):
        self._path = path
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, key: str) -> int:
        """Counts one run and returns the number of runs of that key so far."""
        self._counts[key] += 1
        if self._path is not None:
            with open(self._path, "a", encoding="utf-8") as file:
                file.write(json.dumps(key) + "\n")
        return self._counts[key]

    async def handle(self, call: Call) -> None:
        """Serves `GET /v1/ran`."""
        total = sum(self._counts.values())
        await call.reply_json(200, {"total": total, "ran": self._counts})


def request_key(call: Call) -> str:
    """Returns the key in the headers of a request, or an empty string."""
    key = call.headers.get("idempotency-key")
    return key or call.headers.get("peridotbend-request", "")
