"""Client of the platform's store."""

import base64
import binascii
import dataclasses
import json
import urllib.parse
from typing import Any

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.ports import AnswerHead, TargetCall
from peridotbend.domain.streams import find_header
from peridotbend.domain.text import Target
from peridotbend.edge.ports import StoreError, StoreFailure
from peridotbend.edge.published import Changes, Item
from peridotbend.edge.settings import Address
from peridotbend.platform import wire

# The store normally answers within milliseconds, and a slow one within a few
# hundred.
CALL_TIMEOUT_S = 1.5
# Added to the wait time of a watch to get the timeout of its call.
WATCH_MARGIN_S = 1.0
# A page contains about 1 MB of values, and base64 adds a third.
MAX_ANSWER_BYTES = 4 * 1_048_576
MAX_PAGES = 10_000
_BUSY_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A successful answer of the store."""

    body: dict[str, Any]
    era: int


class StoreClient:
    """Lists and watches keys of the store.

    A call whose answer is lost ends by its timeout, which closes the
    connection, so that the next call uses another one.
    """

    def __init__(self, address: Address, client: HttpTargetClient):
        self._client = client
        self.set_address(address)

    def set_address(self, address: Address) -> None:
        """Uses another address from the next call on."""
        host, port = address
        self._target = Target("store", "store", "", host, port)

    def make_prefix_reader(self, prefix: str) -> "PrefixReader":
        """Returns a reader for the keys below a prefix."""
        return PrefixReader(self, prefix)

    async def get(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> Result["StoreAnswer", StoreError]:
        """Returns the decoded answer of a call."""
        path = f"{call}?{urllib.parse.urlencode(query)}"
        request = TargetCall("GET", path, (), b"", round(timeout_s * 1_000))
        body = bytearray()
        try:
            with anyio.fail_after(timeout_s):
                async with self._client.open(
                    self._target, request, lambda: True
                ) as opened:
                    if isinstance(opened, Err):
                        return _make_unreachable_error(opened.err_value.detail)
                    answer = opened.ok_value
                    async for chunk in answer.chunks():
                        if isinstance(chunk, Err):
                            return _make_unreachable_error(
                                chunk.err_value.detail
                            )
                        body += chunk.ok_value
                        if len(body) > MAX_ANSWER_BYTES:
                            return _make_bad_answer_error(
                                "the answer is too large"
                            )
        except TimeoutError:
            return _make_unreachable_error(f"no answer in {timeout_s} s")
        decoded = _decode_answer(answer.head.status, bytes(body))
        era = _parse_era(answer.head)
        return decoded.map(lambda body: StoreAnswer(body, era))


class PrefixReader:
    """Reads the keys below one prefix."""

    def __init__(self, client: StoreClient, prefix: str):
        self._client = client
        self._prefix = prefix

    async def list_items(self) -> Result[Changes, StoreError]:
        """Returns all items.

        Pages do not form a snapshot. The result has the revision of the first
        page, so the first watch returns all changes since then again.
        """
        items: list[Item] = []
        revision = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"path_prefix": self._prefix}
            if after:
                query["after"] = after
            result = await self._client.get(
                wire.RANGE_CALL, query, CALL_TIMEOUT_S
            )
            if isinstance(result, Err):
                return result
            page = result.ok_value.body
            decoded = _decode_page(page, "items")
            if isinstance(decoded, Err):
                return decoded
            page_items, page_revision = decoded.ok_value
            items.extend(page_items)
            revision = page_revision if revision is None else revision
            if not page.get("has_more") or not page_items:
                era = result.ok_value.era
                return Ok(Changes(tuple(items), revision, True, era))
            after = page_items[-1].key
        return _make_bad_answer_error("the listing has too many pages")

    async def watch(
        self, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Returns the changes after a revision; none after `wait_ms`."""
        query = {
            "path_prefix": self._prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        timeout_s = wait_ms / 1_000 + WATCH_MARGIN_S
        result = await self._client.get(wire.WATCH_CALL, query, timeout_s)
        if isinstance(result, Err):
            return result
        answer = result.ok_value
        return _decode_page(answer.body, "events").map(
            lambda page: Changes(tuple(page[0]), page[1], False, answer.era)
        )


def _parse_era(head: AnswerHead) -> int:
    text = find_header(head, wire.STORE_ERA)
    return int(text) if text.isascii() and text.isdigit() else 0


def _decode_answer(
    status: int, body: bytes
) -> Result[dict[str, Any], StoreError]:
    if status == 410:
        return Err(StoreError(StoreFailure.COMPACTED))
    if status in _BUSY_STATUSES:
        return Err(StoreError(StoreFailure.BUSY, f"status {status}"))
    if status != 200:
        return _make_bad_answer_error(f"status {status}")
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _make_bad_answer_error(str(error))
    if not isinstance(decoded, dict):
        return _make_bad_answer_error("the answer is not an object")
    return Ok(decoded)


def _decode_page(
    page: dict[str, Any], name: str
) -> Result[tuple[list[Item], int], StoreError]:
    """Returns the items of a page and the revision of the store."""
    entries = page.get(name)
    revision = page.get("store_revision")
    if not isinstance(entries, list) or not isinstance(revision, int):
        return _make_bad_answer_error(
            f"{name} or store_revision is missing or invalid"
        )
    try:
        return Ok(([_decode_item(entry) for entry in entries], revision))
    except (KeyError, TypeError, binascii.Error) as error:
        return _make_bad_answer_error(
            f"invalid entry: {type(error).__name__} {error}"
        )


def _decode_item(entry: dict[str, Any]) -> Item:
    key, revision = entry["key"], entry["revision"]
    if not isinstance(key, str) or not isinstance(revision, int):
        raise TypeError("key or revision has the wrong type")
    if entry.get("deleted"):
        return Item(key, revision, None)
    return Item(key, revision, base64.b64decode(entry["value"], validate=True))


def _make_unreachable_error(detail: str) -> Err[StoreError]:
    return Err(StoreError(StoreFailure.UNREACHABLE, detail))


def _make_bad_answer_error(detail: str) -> Err[StoreError]:
    return Err(StoreError(StoreFailure.BAD_ANSWER, detail))
