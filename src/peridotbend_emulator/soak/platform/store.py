"""Stand-in for the platform's store, with an address for each instance."""

import asyncio
import base64
import contextlib
import functools
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

from peridotbend.platform import wire
from peridotbend_emulator.soak.messages import (
    Request,
    make_answer,
    read_request,
)

Event = tuple[str, int, "DocumentMaker | None"]
# The revision, the content and the history of a store at one moment.
StoreCopy = tuple[int, dict[str, tuple[int, "DocumentMaker"]], list[Event]]
# Returns the document of a key for an instance, given by its index.
DocumentMaker = Callable[[int], dict[str, Any]]


class StoreStandIn:
    """Keys that can be listed and watched.

    Each instance has an address of its own, so that the entries of runners can
    name other addresses to each.
    """

    def __init__(self, host: str, instance_count: int):
        self._host = host
        self._ports = [0] * instance_count
        self._revision = 100
        self._items: dict[str, tuple[int, DocumentMaker]] = {}
        # Key, revision and document, which is None for a removal.
        self._history: list[Event] = []
        # How many times it was restored.
        self._era = 1
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def find_address(self, index: int) -> str:
        """Returns the address for an instance."""
        return f"{self._host}:{self._ports[index]}"

    async def start(self) -> None:
        """Listens; a second start uses the same ports."""
        for index, port in enumerate(self._ports):
            server = await asyncio.start_server(
                functools.partial(self._serve, index), self._host, port
            )
            self._ports[index] = server.sockets[0].getsockname()[1]
            self._servers.append(server)

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        for server in self._servers:
            server.close()
        self._servers.clear()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, key: str, make_document: DocumentMaker) -> None:
        """Writes a key."""
        self._revision += 1
        self._items[key] = self._revision, make_document
        self._add_event(key, make_document)

    def delete(self, *keys: str) -> None:
        """Removes keys, as far as they are there."""
        for key in keys:
            if self._items.pop(key, None):
                self._revision += 1
                self._add_event(key, None)

    def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys below a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def copy(self) -> StoreCopy:
        """Returns a copy to restore."""
        return self._revision, dict(self._items), list(self._history)

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy; what was written since is lost."""
        self._era += 1
        self._revision, self._items, self._history = copy
        self._wake_watches()

    def _add_event(self, key: str, make_document: DocumentMaker | None) -> None:
        self._history.append((key, self._revision, make_document))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        index: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                while (request := await read_request(reader)) is not None:
                    status, page = await self._answer(index, request)
                    body = json.dumps(page).encode()
                    era = (wire.STORE_ERA, str(self._era))
                    writer.write(make_answer(status, body, (era,)))
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, index: int, request: Request
    ) -> tuple[int, dict[str, Any]]:
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == wire.RANGE_CALL:
            return 200, self._list(index, query["path_prefix"])
        if path == wire.WATCH_CALL:
            return await self._watch(index, query)
        return 404, {"store_revision": self._revision}

    def _list(self, index: int, prefix: str) -> dict[str, Any]:
        created = self._find_created()
        items = [
            _make_item(
                key, revision, created[key, revision], make_document(index)
            )
            for key, (revision, make_document) in self._items.items()
            if key.startswith(prefix)
        ]
        return {
            "items": items,
            "has_more": False,
            "store_revision": self._revision,
        }

    async def _watch(
        self, index: int, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if after > self._revision:
            return 410, {"store_revision": self._revision}
        events: list[dict[str, Any]] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1_000):
                while after <= self._revision:
                    changed = self._changed
                    events = self._list_events(
                        index, query["path_prefix"], after
                    )
                    if events:
                        break
                    await changed.wait()
        if after > self._revision:
            return 410, {"store_revision": self._revision}
        return 200, {"events": events, "store_revision": self._revision}

    def _find_created(self) -> dict[tuple[str, int], int]:
        """Returns the revision that created each key, by key and revision."""
        created: dict[str, int] = {}
        found: dict[tuple[str, int], int] = {}
        for key, revision, make_document in self._history:
            if make_document is None:
                created.pop(key, None)
            else:
                found[key, revision] = created.setdefault(key, revision)
        return found

    def _list_events(
        self, index: int, prefix: str, after: int
    ) -> list[dict[str, Any]]:
        created = self._find_created()
        return [
            _make_item(
                key, revision, created[key, revision], make_document(index)
            )
            if make_document
            else {"key": key, "revision": revision, "deleted": True}
            for key, revision, make_document in self._history
            if revision > after and key.startswith(prefix)
        ]


def _make_item(
    key: str, revision: int, created: int, document: dict[str, Any]
) -> dict[str, Any]:
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return {
        "key": key,
        "value": value,
        "revision": revision,
        "created": created,
        "lease": 0,
    }
