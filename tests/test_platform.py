"""Tests of the platform client, against a scripted HTTP server."""

import asyncio
import json
import unittest
from collections.abc import Sequence

from result import Err, Ok

from peridotbend.adapters import platform as platform_module
from peridotbend.adapters.peerdigest import MAX_NAME_CHARS
from peridotbend.adapters.platform import HttpPlatform
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import InstanceRole

TARGET_ENTRY = {
    "name": "t1",
    "role": "target",
    "zone": "a",
    "address": "127.0.0.1:80",
    "incarnation": "i1",
    "state": "leaving",
}
INSTANCE_ENTRY = {
    "name": "e1",
    "role": "entry",
    "zone": "a",
    "address": "127.0.0.1:81",
    "peer_address": "127.0.0.1:82",
    "state": "live",
}
# Python encodes the first ones for a lookup, which raises UnicodeError.
BAD_HOSTS = ("a..b", "x" * 64, "a\0b", "localhost", "1.2.3", "1.2.3.4.5", "")


class HttpPlatformTest(unittest.IsolatedAsyncioTestCase):
    """Decoding of the platform's answers and errors."""

    async def asyncSetUp(self) -> None:
        """Starts a server that gives the same answer to every call."""
        self.status = 200
        self.body = b""
        self.has_length = True
        self.paths: list[str] = []
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.clock = ManualClock()
        self.reader = HttpPlatform(f"http://127.0.0.1:{port}", self.clock)

    async def asyncTearDown(self) -> None:
        """Closes all sockets."""
        await self.reader.aclose()
        self.server.close()

    async def test_text(self) -> None:
        """Guards against a configuration altered after its publication."""
        self.body = "version: 7\n# é\n".encode()
        assert await self.reader.watch_config(6, 100) == Ok(self.body.decode())
        assert self.paths == ["/v1/text?after=6&wait_ms=100"]

    async def test_nothing_newer(self) -> None:
        """Guards against treating the end of a long poll as a failure."""
        self.status = 304
        assert await self.reader.watch_config(6, 0) == Ok(None)
        assert await self.reader.watch_instances(6, 0) == Ok(None)

    async def test_failures_are_errors(self) -> None:
        """Guards against an exception or an empty list when a call fails."""
        for status in (429, 503, 500):
            self.status = status
            assert isinstance(await self.reader.watch_config(0, 0), Err)
            assert isinstance(await self.reader.watch_instances(0, 0), Err)
        self.server.close()
        await self.reader.aclose()
        await self.server.wait_closed()
        assert isinstance(await self.reader.watch_config(0, 0), Err)

    async def test_instances(self) -> None:
        """Guards against list entries with wrongly decoded fields."""
        self.body = _encode_list([TARGET_ENTRY, INSTANCE_ENTRY])
        answer = await self.reader.watch_instances(0, 0)
        assert isinstance(answer, Ok)
        assert answer.ok_value is not None
        revision, (target, instance) = answer.ok_value
        assert revision == 3
        assert target.role is InstanceRole.TARGET
        assert (target.incarnation, target.leaving) == ("i1", True)
        assert (instance.host, instance.peer_port) == ("127.0.0.1", 82)
        assert not instance.leaving

    async def test_malformed_answers_are_errors(self) -> None:
        """Guards against exceptions on malformed answers."""
        bad_entries = [
            TARGET_ENTRY | {"address": "nowhere"},
            TARGET_ENTRY | {"role": "king"},
            TARGET_ENTRY | {"state": "maybe"},
            TARGET_ENTRY | {"name": 5},
        ]
        bodies = [_encode_list([entry]) for entry in bad_entries]
        bodies += [b"", b"[]", b"{}", b"[" * 200_000, b"\xff\xfe"]
        for body in bodies:
            self.body = body
            answer = await self.reader.watch_instances(0, 0)
            assert isinstance(answer, Err), body[:80]
        self.body = b"\xff\xfe"
        assert isinstance(await self.reader.watch_config(0, 0), Err)

    async def test_names_that_peers_cannot_be_told_are_errors(self) -> None:
        """Guards against an entry that ends a process or its links to peers.

        Digests name targets that leave.
        """
        for field in ("name", "zone", "incarnation"):
            for value in ("\ud800", "x" * (MAX_NAME_CHARS + 1)):
                with self.subTest(field=field, value=value[:9]):
                    self.body = _encode_list([TARGET_ENTRY | {field: value}])
                    answer = await self.reader.watch_instances(0, 0)
                    assert isinstance(answer, Err)
        name = "x" * MAX_NAME_CHARS
        self.body = _encode_list([TARGET_ENTRY | {"name": name}])
        assert isinstance(await self.reader.watch_instances(0, 0), Ok)

    async def test_addresses_that_are_none_are_errors(self) -> None:
        """Guards against an entry that ends a process when it connects."""
        for host in BAD_HOSTS:
            for field in ("address", "peer_address"):
                with self.subTest(host=host, field=field):
                    entry = INSTANCE_ENTRY | {field: f"{host}:80"}
                    self.body = _encode_list([entry])
                    answer = await self.reader.watch_instances(0, 0)
                    assert isinstance(answer, Err)

    async def test_size_is_bounded(self) -> None:
        """Guards against an answer so large that it exhausts memory."""
        self.body = b"x" * (platform_module.MAX_TEXT_BYTES + 1)
        assert isinstance(await self.reader.watch_config(0, 0), Err)

    async def test_part_of_a_text_is_not_read(self) -> None:
        """Guards against a text that lost its end with the platform.

        A part of a text may be valid, and would stay in force as its version.
        """
        self.has_length = False
        self.body = b"version: 7\n"
        assert isinstance(await self.reader.watch_config(6, 0), Err)

    async def test_list_without_a_length_shows_its_own_end(self) -> None:
        """Guards against a part of the list, and the loss of a whole one."""
        self.has_length = False
        self.body = _encode_list([TARGET_ENTRY, INSTANCE_ENTRY])
        assert isinstance(await self.reader.watch_instances(0, 0), Ok)
        whole = self.body
        for end in range(0, len(whole), 7):
            self.body = whole[:end]
            assert isinstance(await self.reader.watch_instances(0, 0), Err)

    async def test_calls_are_counted(self) -> None:
        """Guards against a wrong call rate in the status."""
        self.status = 304
        for _ in range(5):
            await self.reader.watch_config(0, 0)
        assert self.reader.count_calls() == 5
        assert self.reader.calls_per_s() == 0.5
        self.clock.advance(platform_module.RATE_WINDOW_MS)
        assert self.reader.calls_per_s() == 0.0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.paths.append(head.split()[1].decode())
        length = 0 if self.status == 304 else len(self.body)
        framing = f"Content-Length: {length}\r\n" if self.has_length else ""
        writer.write(
            f"HTTP/1.1 {self.status} X\r\n{framing}"
            "Connection: close\r\n\r\n".encode()
        )
        writer.write(self.body[:length])
        writer.close()


def _encode_list(entries: Sequence[object]) -> bytes:
    return json.dumps({"revision": 3, "instances": entries}).encode()
