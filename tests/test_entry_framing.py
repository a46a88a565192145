"""Tests that the product's own interface passes on what callers send."""

import unittest

import anyio

from tests.edgenode import EntryNode, encode_request, read_reply, run_with_entry

ORDERS = "/v1/orders"
# More than a request of these tests has bytes.
MAX_CUTS = 1_000


class UpgradeOfferTest(unittest.TestCase):
    """Requests with an offer to switch to another protocol."""

    offer = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c")

    def test_request_runs_with_its_body(self) -> None:
        """Guards against bodies that are lost, or run as requests."""
        inner = encode_request("GET", f"{ORDERS}/7")

        async def test(entry: EntryNode) -> None:
            for pause_s in (0.0, 0.02):
                key = f"Idempotency-Key: {await entry.reserve()}"
                order = encode_request("POST", ORDERS, inner, key, *self.offer)
                reader, writer = await entry.connect()
                writer.write(order[: -len(inner)])
                await writer.drain()
                await anyio.sleep(pause_s)
                writer.write(inner)
                reply = await read_reply(reader)
                assert (reply.status, reply.verdict) == (200, "completed")
                writer.write_eof()
                assert await reader.read() == b""
                writer.close()
            assert entry.target.ran == [ORDERS] * 2
            assert entry.target.bodies == [inner] * 2

        run_with_entry(test)

    def test_packets_change_nothing(self) -> None:
        """Guards against messages whose end depends on how they are cut."""
        inner = encode_request("GET", f"{ORDERS}/inner")
        paths = []

        async def test(entry: EntryNode) -> None:
            for place in range(1, MAX_CUTS):
                path = f"{ORDERS}/{place:03}"
                data = encode_request("GET", path, inner, *self.offer)
                if place >= len(data):
                    break
                paths.append(path)
                reader, writer = await entry.connect()
                for packet in (data[:place], data[place:]):
                    writer.write(packet)
                    await writer.drain()
                    # Lets the server read the packet before the next one.
                    await anyio.sleep(0.001)
                assert (await read_reply(reader)).status == 200
                writer.close()
            assert entry.target.ran == paths
            assert entry.target.bodies == [inner] * len(paths)

        run_with_entry(test)
        assert len(paths) < MAX_CUTS - 1


class TargetTest(unittest.TestCase):
    """Path and query of requests."""

    def test_target_is_passed_on_as_it_came(self) -> None:
        """Guards against an empty query that is dropped."""
        targets = [f"{ORDERS}/{end}" for end in ("1", "1?", "1??", "%2F?a=b")]

        async def test(entry: EntryNode) -> None:
            for target in targets:
                assert (await entry.call("GET", target)).status == 200
            assert entry.target.ran == targets

        run_with_entry(test)


class ConnectionHeadersTest(unittest.TestCase):
    """Headers that concern only the caller's connection."""

    def test_listed_headers_are_not_passed_on(self) -> None:
        """Guards against headers that the target takes for its connection's."""
        lines = ("Connection: close, X-Hop", "X-Hop: 1", "X-Other: 1")

        async def test(entry: EntryNode) -> None:
            key = f"Idempotency-Key: {await entry.reserve()}"
            offer = ("HTTP2-Settings: AAM", "Upgrade: h2c", "TE: trailers")
            reply = await entry.call("POST", ORDERS, b"1", key, *lines, *offer)
            assert reply.status == 200
            (head,) = entry.target.heads
            assert b"\r\nx-other: 1\r\n" in head.lower(), head
            for name in (b"x-hop", b"http2-settings", b"upgrade", b"te:"):
                assert name not in head.lower(), head

        run_with_entry(test)
