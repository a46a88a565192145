"""Fakes of the store and of targets that implement the platform's protocol."""

import base64
import dataclasses
import json
import urllib.parse
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from peridotbend.platform import wire

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


async def respond(
    send: Send, status: int, body: bytes, *headers: tuple[str, str]
) -> None:
    """Sends a complete answer."""
    raw = [(name.encode(), value.encode()) for name, value in headers]
    raw.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": raw}
    )
    await send({"type": "http.response.body", "body": body})


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at one moment."""

    revision: int
    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]


class FakeStore:
    """A store whose keys can be listed and watched by revision."""

    def __init__(self) -> None:
        self.revision = 100
        # How many times the store was restored.
        self.era = 1
        self.calls: Counter[str] = Counter()
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = anyio.Event()

    def clear(self) -> None:
        """Goes back to the state of a new store."""
        self.__init__()  # type: ignore[misc]

    def put(self, key: str, document: object) -> None:
        """Writes a key."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"key": key, "value": value, "revision": self.revision}
        self._items[key] = item
        self._append_event(item)

    def delete(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        del self._items[key]
        self._append_event(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def copy(self) -> StoreCopy:
        """Returns a copy to restore."""
        return StoreCopy(self.revision, dict(self._items), list(self._history))

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy; what was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._wake_watches()

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one call."""
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        self.calls[scope["path"]] += 1
        if scope["path"] == wire.RANGE_CALL:
            page = self._list(query["path_prefix"])
        else:
            page = await self._watch(query)
        body = json.dumps(page or {"store_revision": self.revision}).encode()
        era = (wire.STORE_ERA, str(self.era))
        await respond(send, 410 if page is None else 200, body, era)

    def _append_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _list(self, prefix: str) -> dict[str, Any]:
        items = [i for k, i in self._items.items() if k.startswith(prefix)]
        return {
            "items": items,
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any] | None:
        """Returns events; None if the history does not go back so far."""
        events: list[dict[str, Any]] = []
        with anyio.move_on_after(int(query["wait_ms"]) / 1_000):
            while not events:
                if int(query["after"]) > self.revision:
                    return None
                changed = self._changed
                events = [
                    event
                    for event in self._history
                    if event["revision"] > int(query["after"])
                    and event["key"].startswith(query["path_prefix"])
                ]
                if not events:
                    await changed.wait()
        return {"events": events, "store_revision": self.revision}


class FakeTarget:
    """Answers quotes with an event stream, and other requests with a body."""

    def __init__(self, name: str, delay_s: float = 0.0, event_count: int = 3):
        self.name = name
        # Delay after each event, or before a body.
        self.delay_s = delay_s
        self.event_count = event_count
        # As its entry says.
        self.started_at_ms = 1_782_800_000_000
        self.started_attempts: list[str] = []
        # The names of the targets that they were meant for.
        self.started_names: list[str] = []
        # When they arrived, on the clock of the event loop.
        self.started_at_s: list[float] = []
        # Whether it stands for several targets at one address.
        self.accepts_any_name = False
        # Further headers of all answers.
        self.more_headers: tuple[tuple[str, str], ...] = ()
        # Ended runs: "left" if the caller disconnected, "whole" if complete.
        self.end_counts: Counter[str] = Counter()

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        headers = {n.decode(): v.decode() for n, v in scope["headers"]}
        if scope["path"] == wire.REPORT_CALL:
            report = json.dumps({"born": self.started_at_ms}).encode()
            await respond(send, 200, report)
            return
        if scope["path"].startswith("/-/"):
            await respond(send, 404, b"")
            return
        is_meant = headers.get(wire.EXPECT_INSTANCE) == self.name
        if not (is_meant or self.accepts_any_name):
            await respond(send, 421, b"")
            return
        attempt = headers[wire.ATTEMPT_ID]
        self.started_attempts.append(attempt)
        self.started_names.append(headers[wire.EXPECT_INSTANCE])
        self.started_at_s.append(anyio.current_time())
        answer_headers = (
            (wire.ATTEMPT_ID, attempt),
            (wire.SERVER_STAMP, self.name),
            *self.more_headers,
        )

        async def watch_for_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            self.end_counts["left"] += 1
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_for_disconnect)
            if scope["path"].startswith("/quotes/"):
                last_event = int(headers.get(wire.LAST_EVENT_ID, "0"))
                await self._stream(send, answer_headers, last_event + 1)
            else:
                await anyio.sleep(self.delay_s)
                await respond(send, 200, b"done", *answer_headers)
            self.end_counts["whole"] += 1
            group.cancel_scope.cancel()

    async def _stream(
        self,
        send: Send,
        answer_headers: tuple[tuple[str, str], ...],
        first_event: int,
    ) -> None:
        raw = [
            (name.encode(), value.encode()) for name, value in answer_headers
        ]
        raw.append((b"content-type", b"text/event-stream"))
        await send(
            {"type": "http.response.start", "status": 200, "headers": raw}
        )
        for number in range(first_event, self.event_count + 1):
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            await send(
                {"type": "http.response.body", "body": event, "more_body": True}
            )
            await anyio.sleep(self.delay_s)
        await send({"type": "http.response.body", "body": b""})
