"""Client of the platform's store."""

import base64
import dataclasses
import json
import urllib.parse
from collections.abc import Callable
from typing import Any, TypeGuard

import anyio
from result import Err, Ok, Result

from peridotbend.adapters.targets import HttpTargetClient
from peridotbend.domain.ports import AnswerHead, TargetCall
from peridotbend.domain.streams import find_header
from peridotbend.domain.text import Target
from peridotbend.edge.ports import StoreError, StoreFailure
from peridotbend.edge.published import Changes, Item, Position, WriteOrder
from peridotbend.edge.settings import Address
from peridotbend.platform import wire
from peridotbend.platform.fields import is_encodable

# The store normally answers within milliseconds, and a slow one within a few
# hundred.
CALL_TIMEOUT_S = 1.0
# Added to the wait time of a watch to get the timeout of its call.
WATCH_MARGIN_S = 0.4
# A page contains about 1 MB of values, and base64 adds a third.
MAX_ANSWER_BYTES = 4 * 1_048_576
MAX_PAGES = 10_000
# Both fit into the 64 bits that peers exchange.
MAX_ERA_DIGITS = 18
MAX_REVISION = 2**63 - 1
_BUSY_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A successful answer of the store."""

    body: dict[str, Any]
    # How many times the store was restored from an older copy; 0 if it does not
    # say so.
    era: int


class StoreClient:
    """Lists and watches keys of the store.

    A call whose answer is lost ends by its timeout, or by its caller. Idle
    connections are closed with its own: they may have gone silent as well, and
    each would cost the next call its timeout.
    """

    def __init__(self, address: Address, client: HttpTargetClient):
        self._client = client
        self.set_address(address)

    def set_address(self, address: Address) -> None:
        """Uses another address from the next call on."""
        host, port = address
        self._target = Target("store", "store", "", host, port)

    def make_prefix_reader(
        self,
        prefix: str,
        read_order: Callable[[bytes], WriteOrder],
        unordered_prefix: str = "",
    ) -> "PrefixReader":
        """Returns a reader for the keys below a prefix.

        Args:
            prefix: of the keys.
            read_order: returns what the writer of a value counts itself.
            unordered_prefix: of the keys whose values have no such order;
                empty for none.
        """
        return PrefixReader(self, prefix, read_order, unordered_prefix)

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
                            return Err(StoreError(StoreFailure.TOO_LARGE))
        except TimeoutError:
            await self._client.close_idle(self._target)
            return _make_unreachable_error(f"no answer in {timeout_s} s")
        except anyio.get_cancelled_exc_class():
            await self._client.close_idle(self._target)
            raise
        decoded = _decode_answer(answer.head.status, bytes(body))
        if isinstance(decoded, Err):
            return decoded
        era = _parse_era(answer.head)
        if era is None:
            return _make_bad_answer_error("the era is not a number")
        return Ok(StoreAnswer(decoded.ok_value, era))


class PrefixReader:
    """Reads the keys below one prefix."""

    def __init__(
        self,
        client: StoreClient,
        prefix: str,
        read_order: Callable[[bytes], WriteOrder],
        unordered_prefix: str = "",
    ):
        self._client = client
        self._prefix = prefix
        self._read_order = read_order
        self._unordered_prefix = unordered_prefix

    async def list_items(self) -> Result[Changes, StoreError]:
        """Returns all items.

        Pages do not form a snapshot. The result has the revision of the first
        page, so the first watch returns all changes since then again.
        """
        items: list[Item] = []
        position = None
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
            page = result.ok_value
            decoded = self._decode_page(page, "items")
            if isinstance(decoded, Err):
                return decoded
            page_items, page_position = decoded.ok_value
            items.extend(page_items)
            position = page_position if position is None else position
            if page_position.era != position.era:
                return _make_bad_answer_error(
                    "the store was restored between two pages of a listing"
                )
            if not page.body.get("has_more") or not page_items:
                return Ok(Changes(tuple(items), position, is_whole=True))
            after = page_items[-1].key
        return _make_bad_answer_error("the listing has too many pages")

    async def watch(
        self, after: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Returns the changes after a revision; none after `wait_ms`.

        Without a wait the call gets as much time as a listing, so that a store
        too slow for the margin is still read.
        """
        query = {
            "path_prefix": self._prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        timeout_s = max(wait_ms / 1_000 + WATCH_MARGIN_S, CALL_TIMEOUT_S)
        result = await self._client.get(wire.WATCH_CALL, query, timeout_s)
        if isinstance(result, Err):
            return result
        decoded = self._decode_page(result.ok_value, "events")
        return decoded.map(lambda page: Changes(tuple(page[0]), page[1], False))

    def _decode_page(
        self, answer: StoreAnswer, name: str
    ) -> Result[tuple[list[Item], Position], StoreError]:
        """Returns the items of a page and the position of the store."""
        entries = answer.body.get(name)
        revision = answer.body.get("store_revision")
        if not isinstance(entries, list) or not _is_revision(revision):
            return _make_bad_answer_error(
                f"{name} or store_revision is missing or invalid"
            )
        try:
            items = [self._decode_item(entry, answer.era) for entry in entries]
        except (KeyError, TypeError, ValueError) as error:
            return _make_bad_answer_error(
                f"invalid entry: {type(error).__name__} {error}"
            )
        return Ok((items, Position(answer.era, revision)))

    def _decode_item(self, entry: dict[str, Any], era: int) -> Item:
        key, revision = entry["key"], entry["revision"]
        if not isinstance(key, str) or not _is_revision(revision):
            raise TypeError("key or revision has the wrong type or size")
        if not is_encodable(key):
            # Names no target, but peers are told of it like of any other key.
            key = key.encode(errors="backslashreplace").decode()
        position = Position(era, revision)
        if entry.get("deleted"):
            return Item(key, position, None)
        value = base64.b64decode(entry["value"], validate=True)
        created = entry.get("created")
        if not _is_revision(created):
            created = 0
        unordered = self._unordered_prefix
        if unordered and key.startswith(unordered):
            return Item(key, position, value, created=created)
        return Item(key, position, value, self._read_order(value), created)


def _is_revision(value: object) -> TypeGuard[int]:
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 0 <= value <= MAX_REVISION


def _parse_era(head: AnswerHead) -> int | None:
    """Returns the era of an answer, 0 if it names none; None if invalid."""
    text = find_header(head, wire.STORE_ERA).strip()
    if not text:
        return 0
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_ERA_DIGITS else None


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


def _make_unreachable_error(detail: str) -> Err[StoreError]:
    return Err(StoreError(StoreFailure.UNREACHABLE, detail))


def _make_bad_answer_error(detail: str) -> Err[StoreError]:
    return Err(StoreError(StoreFailure.BAD_ANSWER, detail))
