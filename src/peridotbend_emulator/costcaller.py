"""Load generator for cost runs: `python -m peridotbend_emulator.costcaller`.

Prints one line of JSON with the latencies and failures of its callers.
"""

import asyncio
import json
import os
import time

# Disables io_uring in libuv, which reads this before the first loop starts.
os.environ["UV_USE_IO_URING"] = "0"

import click
import uvloop

MAX_RUN_S = 120


def make_request(path: str, body: bytes) -> bytes:
    """Returns the bytes of a POST request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: cost\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Caller:
    """A connection that sends requests one after another."""

    def __init__(self, address: str, request: bytes):
        self._host, _, self._port = address.partition(":")
        self._request = request
        self.latencies_ms: list[float] = []
        self.first_event_ms: list[float] = []
        self.failures = 0

    async def run(self, count: int, delay_s: float) -> None:
        """Sends `count` requests after a delay."""
        await asyncio.sleep(delay_s)
        reader, writer = await asyncio.open_connection(
            self._host, int(self._port)
        )
        for _ in range(count):
            start_s = time.perf_counter()
            writer.write(self._request)
            try:
                await self._read_response(reader, start_s)
            except (asyncio.IncompleteReadError, OSError):
                self.failures += 1
                break
            self.latencies_ms.append((time.perf_counter() - start_s) * 1000)
        writer.close()

    async def _read_response(
        self, reader: asyncio.StreamReader, start_s: float
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b" 200 " not in head[:20] and b" 201 " not in head[:20]:
            self.failures += 1
        _, found, tail = head.partition(b"content-length:")
        if found:
            await reader.readexactly(int(tail.split(b"\r\n", 1)[0]))
            return
        last_bytes = b""
        while not last_bytes.endswith(b"\r\n0\r\n\r\n"):
            data = await reader.read(65_536)
            if not data:
                raise asyncio.IncompleteReadError(last_bytes, None)
            if not last_bytes:
                elapsed_ms = (time.perf_counter() - start_s) * 1000
                self.first_event_ms.append(elapsed_ms)
            last_bytes = (last_bytes + data)[-16:]


async def run(
    address: str, request: bytes, callers: int, count: int, spread_ms: float
) -> dict[str, object]:
    """Runs all callers; their starts are spread evenly over `spread_ms`."""
    all_callers = [Caller(address, request) for _ in range(callers)]
    async with asyncio.timeout(MAX_RUN_S):
        await asyncio.gather(
            *(
                caller.run(count, spread_ms * index / callers / 1000)
                for index, caller in enumerate(all_callers)
            )
        )
    return {
        "latencies_ms": [t for c in all_callers for t in c.latencies_ms],
        "first_event_ms": [t for c in all_callers for t in c.first_event_ms],
        "failures": sum(c.failures for c in all_callers),
    }


@click.command()
@click.argument("address")
@click.argument("path")
@click.argument("body")
@click.option("--callers", default=1, type=click.IntRange(1, 4_096))
@click.option("--count", default=1, type=click.IntRange(1, 100_000))
@click.option("--spread-ms", default=0.0)
def main(
    address: str,
    path: str,
    body: str,
    callers: int,
    count: int,
    spread_ms: float,
) -> None:
    """Sends COUNT requests on each of CALLERS connections to ADDRESS."""
    request = make_request(path, body.encode())
    print(
        json.dumps(uvloop.run(run(address, request, callers, count, spread_ms)))
    )


if __name__ == "__main__":
    main()
