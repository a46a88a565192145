"""A stand-in store and stand-in targets that speak the platform's protocol."""

import base64
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
    """Sends a whole answer."""
    raw = [(name.encode(), value.encode()) for name, value in headers]
    raw.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": raw}
    )
    await send({"type": "http.response.body", "body": body})


class StandInStore:
    """Keys with revisions that can be listed and watched."""

    def __init__(self) -> None:
        self.revision = 100
        self.calls: Counter[str] = Counter()
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = anyio.Event()

    def put(self, key: str, document: object) -> None:
        """Writes a key."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {"key": key, "value": value, "revision": self.revision}
        self._items[key] = item
        self._note(item)

    def delete(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        del self._items[key]
        self._note({"key": key, "revision": self.revision, "deleted": True})

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
        await respond(send, 200, json.dumps(page).encode())

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = anyio.Event()

    def _list(self, prefix: str) -> dict[str, Any]:
        items = [i for k, i in self._items.items() if k.startswith(prefix)]
        return {
            "items": items,
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        events: list[dict[str, Any]] = []
        with anyio.move_on_after(int(query["wait_ms"]) / 1_000):
            while not events:
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


class StandInTarget:
    """Answers a stream of events, or a short body to anything else."""

    def __init__(self, name: str, pause_s: float = 0.0, events: int = 3):
        self.name = name
        self.pause_s = pause_s
        self.events = events
        self.started: list[str] = []
        self.ended: Counter[str] = Counter()

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        headers = {n.decode(): v.decode() for n, v in scope["headers"]}
        if headers.get(wire.EXPECT_INSTANCE) != self.name:
            await respond(send, 421, b"")
            return
        attempt = headers[wire.ATTEMPT_ID]
        self.started.append(attempt)
        told = ((wire.ATTEMPT_ID, attempt), (wire.SERVER_STAMP, self.name))

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            self.ended["left"] += 1
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            if scope["path"].startswith("/quotes/"):
                await self._stream(send, told)
            else:
                await anyio.sleep(self.pause_s)
                await respond(send, 200, b"done", *told)
            self.ended["whole"] += 1
            group.cancel_scope.cancel()

    async def _stream(
        self, send: Send, told: tuple[tuple[str, str], ...]
    ) -> None:
        raw = [(name.encode(), value.encode()) for name, value in told]
        raw.append((b"content-type", b"text/event-stream"))
        await send(
            {"type": "http.response.start", "status": 200, "headers": raw}
        )
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            await send(
                {"type": "http.response.body", "body": event, "more_body": True}
            )
            await anyio.sleep(self.pause_s)
        await send({"type": "http.response.body", "body": b""})
