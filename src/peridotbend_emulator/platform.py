"""Stand-in for the platform: `python -m peridotbend_emulator.platform`.

It serves the text and the instance list, and a control API for tests below
`/control/` that is neither counted nor refused in any mode.
"""

import collections
import re
from typing import Any

import anyio
import click

from peridotbend.domain.clock import Clock, SystemClock
from peridotbend_emulator import serving
from peridotbend_emulator.platformstate import (
    CallRate,
    Mode,
    PlatformState,
    PublishedText,
)
from peridotbend_emulator.serving import App, Call, CallError

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_MS = 60_000
_VERSION = re.compile(rb"^version:\s*(\d+)\s*$", re.MULTILINE)


class PlatformProgram:
    """Serves a `PlatformState` over HTTP."""

    def __init__(self, clock: Clock, calls_per_s: int):
        self._clock = clock
        self._state = PlatformState(clock)
        self._rate = CallRate(clock, calls_per_s)
        self._changed = anyio.Event()
        self._counts = collections.Counter(
            text=0, instances=0, refused=0, pending=0
        )

    def make_app(self) -> App:
        """Returns the application with all routes."""
        app = App()
        app.route("GET", "/v1/text", self._send_text)
        app.route("GET", "/v1/instances", self._send_instances)
        app.route("PUT", "/control/text", self._put_text)
        app.route("PUT", "/control/instances", self._put_instances)
        app.route("PATCH", "/control/instances/*", self._patch_instance)
        app.route("DELETE", "/control/instances/*", self._delete_instance)
        app.route("POST", "/control/lag", self._set_lag)
        app.route("POST", "/control/mode", self._set_mode)
        app.route("GET", "/control/counts", self._send_counts)
        return app

    def set_lag(self, list_lag_ms: int) -> None:
        """Delays every change of the list, past ones included."""
        self._state.lag_ms = list_lag_ms
        self._notify()

    async def _send_text(self, call: Call) -> None:
        self._admit("text")
        # Without `after`, any version is newer.
        after = call.query_int("after", -1)
        until_ms = self._find_end(call)
        while True:
            self._check_up()
            text = self._state.find_text()
            if text is not None and text.version > after:
                headers = {
                    "content-type": "application/yaml",
                    "text-version": str(text.version),
                }
                await call.reply(200, text.body, headers)
                return
            if not await self._wait(call, until_ms):
                await call.reply(304, b"")
                return

    async def _send_instances(self, call: Call) -> None:
        self._admit("instances")
        after = call.query_int("after", -1)
        until_ms = self._find_end(call)
        while True:
            self._check_up()
            seen = self._state.find_instances()
            if seen.revision > after:
                instances = list(seen.instances.values())
                answer = {"revision": seen.revision, "instances": instances}
                await call.reply_json(200, answer)
                return
            if not await self._wait(call, until_ms):
                await call.reply(304, b"")
                return

    def _admit(self, counter: str) -> None:
        """Counts a call; a watch counts once however long it waits."""
        if not self._rate.take():
            self._counts["refused"] += 1
            raise CallError(429, "too many calls to the platform")
        self._counts[counter] += 1

    def _check_up(self) -> None:
        if self._state.mode is Mode.DOWN:
            raise CallError(503, "the platform is down")

    def _find_end(self, call: Call) -> int:
        wait_ms = call.query_int("wait_ms", 0)
        return self._clock.now_ms() + min(max(wait_ms, 0), MAX_WAIT_MS)

    async def _wait(self, call: Call, until_ms: int) -> bool:
        """Waits for a change; returns False when the time is over."""
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            return False
        next_ms = self._state.next_visible_ms()
        if next_ms is not None:
            left_ms = min(left_ms, next_ms)
        self._counts["pending"] += 1
        try:
            with anyio.move_on_after(left_ms / 1000):
                await self._changed.wait()
        finally:
            self._counts["pending"] -= 1
        if call.transport.is_closing():
            raise serving.ClientGoneError
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _put_text(self, call: Call) -> None:
        """Publishes the body; `?version=` overrides the one it names."""
        if len(call.body) > MAX_VALUE_BYTES:
            raise CallError(413, f"a value has at most {MAX_VALUE_BYTES} bytes")
        match = _VERSION.search(call.body)
        version = call.query_int("version", int(match[1]) if match else -1)
        if version < 0:
            raise CallError(400, "the text names no version; add ?version=N")
        self._state.put_text(PublishedText(version, call.body))
        self._notify()
        await call.reply_json(200, {"version": version})

    async def _put_instances(self, call: Call) -> None:
        instances = call.json().get("instances")
        if not isinstance(instances, list) or not all(
            isinstance(x, dict) and "name" in x for x in instances
        ):
            raise CallError(400, "instances is not a list of named instances")
        await self._publish(call, {x["name"]: x for x in instances})

    async def _patch_instance(self, call: Call) -> None:
        """Adds an instance or replaces some of its fields."""
        instances = self._state.last_instances()
        known = instances.get(call.tail, {"name": call.tail})
        instances[call.tail] = {**known, **call.json()}
        await self._publish(call, instances)

    async def _delete_instance(self, call: Call) -> None:
        instances = self._state.last_instances()
        instances.pop(call.tail, None)
        await self._publish(call, instances)

    async def _publish(
        self, call: Call, instances: dict[str, dict[str, Any]]
    ) -> None:
        revision = self._state.put_instances(instances)
        self._notify()
        await call.reply_json(200, {"revision": revision})

    async def _set_lag(self, call: Call) -> None:
        self.set_lag(call.json_int("list_lag_ms", 0))
        await call.reply(204, b"")

    async def _set_mode(self, call: Call) -> None:
        try:
            self._state.mode = Mode(str(call.json().get("mode")))
        except ValueError:
            modes = ", ".join(Mode)
            raise CallError(400, f"mode is not one of {modes}") from None
        self._notify()
        await call.reply(204, b"")

    async def _send_counts(self, call: Call) -> None:
        await call.reply_json(200, self._counts)


@click.command()
@serving.common_options
@click.option("--calls-per-s", default=2000, help="Total rate of all readers.")
@click.option("--list-lag-ms", default=0, help="Lag of the instance list.")
def main(
    port: int, name: str, zone: str, calls_per_s: int, list_lag_ms: int
) -> None:
    """Runs a platform stand-in on loopback."""

    async def run() -> None:
        program = PlatformProgram(SystemClock(), calls_per_s)
        program.set_lag(list_lag_ms)
        about = {"name": name, "zone": zone}
        await serving.serve(program.make_app(), port, about)

    anyio.run(run)


if __name__ == "__main__":
    main()
