"""Stand-in for the platform: `python -m peridotbend_emulator.platform`.

It serves the configuration text, the instance list and, below `/control/`, an
API for tests. Calls of that API are never counted, rate-limited or refused.
"""

import collections
import re
from typing import Any

import anyio
import click

from peridotbend.domain.clock import Clock, SystemClock
from peridotbend_emulator import serving
from peridotbend_emulator.platformstate import (
    Mode,
    PlatformState,
    PublishedText,
    TokenBucket,
)
from peridotbend_emulator.serving import App, Call, CallError

MAX_TEXT_BYTES = 1_000_000
MAX_LONG_POLL_MS = 60_000
_VERSION_LINE = re.compile(rb"^version:\s*(\d+)\s*$", re.MULTILINE)


class PlatformProgram:
    """Serves a `PlatformState` over HTTP."""

    def __init__(self, clock: Clock, calls_per_s: int):
        self._clock = clock
        self._state = PlatformState(clock)
        self._call_limit = TokenBucket(clock, calls_per_s)
        self._changed = anyio.Event()
        self._call_counts = collections.Counter(
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
        app.route("POST", "/control/lag", self._handle_set_lag)
        app.route("POST", "/control/mode", self._handle_set_mode)
        app.route("GET", "/control/counts", self._send_counts)
        return app

    def set_list_lag(self, list_lag_ms: int) -> None:
        """Sets the delay of list changes; past changes are affected too."""
        self._state.lag_ms = list_lag_ms
        self._notify_watchers()

    async def _send_text(self, call: Call) -> None:
        self._admit("text")
        # Without `after`, the current text is sent whatever its version.
        after = call.query_int("after", -1)
        until_ms = self._find_wait_end_ms(call)
        while True:
            self._check_available()
            text = self._state.get_visible_text()
            if text is not None and text.version > after:
                headers = {
                    "content-type": "application/yaml",
                    "text-version": str(text.version),
                }
                await call.reply(200, text.body, headers)
                return
            if not await self._wait_for_change(call, until_ms):
                await call.reply(304, b"")
                return

    async def _send_instances(self, call: Call) -> None:
        self._admit("instances")
        after = call.query_int("after", -1)
        until_ms = self._find_wait_end_ms(call)
        while True:
            self._check_available()
            visible = self._state.get_visible_list()
            if visible.revision != after:
                instances = list(visible.instances.values())
                answer = {"revision": visible.revision, "instances": instances}
                await call.reply_json(200, answer)
                return
            if not await self._wait_for_change(call, until_ms):
                await call.reply(304, b"")
                return

    def _admit(self, counter: str) -> None:
        """Applies the rate limit and counts a call; a long poll counts once."""
        if not self._call_limit.try_acquire():
            self._call_counts["refused"] += 1
            raise CallError(429, "too many calls to the platform")
        self._call_counts[counter] += 1

    def _check_available(self) -> None:
        if self._state.mode is Mode.DOWN:
            raise CallError(503, "the platform is down")

    def _find_wait_end_ms(self, call: Call) -> int:
        wait_ms = call.query_int("wait_ms", 0)
        return self._clock.now_ms() + min(max(wait_ms, 0), MAX_LONG_POLL_MS)

    async def _wait_for_change(self, call: Call, until_ms: int) -> bool:
        """Waits for a change; returns False once `until_ms` has passed."""
        timeout_ms = until_ms - self._clock.now_ms()
        if timeout_ms <= 0:
            return False
        next_change_ms = self._state.find_next_change_ms()
        if next_change_ms is not None:
            timeout_ms = min(timeout_ms, next_change_ms)
        self._call_counts["pending"] += 1
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await self._changed.wait()
        finally:
            self._call_counts["pending"] -= 1
        if call.transport.is_closing():
            raise serving.ClientGoneError
        return True

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _put_text(self, call: Call) -> None:
        """Publishes the body; `?version=` overrides the version in the body."""
        if len(call.body) > MAX_TEXT_BYTES:
            raise CallError(413, f"the text exceeds {MAX_TEXT_BYTES} bytes")
        match = _VERSION_LINE.search(call.body)
        version = call.query_int("version", int(match[1]) if match else -1)
        if version < 0:
            raise CallError(400, "the text has no version line; add ?version=N")
        self._state.put_text(PublishedText(version, call.body))
        self._notify_watchers()
        await call.reply_json(200, {"version": version})

    async def _put_instances(self, call: Call) -> None:
        instances = call.json().get("instances")
        if not isinstance(instances, list) or not all(
            isinstance(x, dict) and "name" in x for x in instances
        ):
            raise CallError(
                400, "instances is not a list of objects with a name"
            )
        await self._publish(call, {x["name"]: x for x in instances})

    async def _patch_instance(self, call: Call) -> None:
        """Adds an instance or updates the given fields of an existing one."""
        instances = self._state.copy_current_instances()
        known = instances.get(call.path_tail, {"name": call.path_tail})
        instances[call.path_tail] = {**known, **call.json()}
        await self._publish(call, instances)

    async def _delete_instance(self, call: Call) -> None:
        instances = self._state.copy_current_instances()
        instances.pop(call.path_tail, None)
        await self._publish(call, instances)

    async def _publish(
        self, call: Call, instances: dict[str, dict[str, Any]]
    ) -> None:
        revision = self._state.put_instances(instances)
        self._notify_watchers()
        await call.reply_json(200, {"revision": revision})

    async def _handle_set_lag(self, call: Call) -> None:
        self.set_list_lag(call.json_int("list_lag_ms", 0))
        await call.reply(204, b"")

    async def _handle_set_mode(self, call: Call) -> None:
        try:
            self._state.mode = Mode(str(call.json().get("mode")))
        except ValueError:
            modes = ", ".join(Mode)
            raise CallError(400, f"mode is not one of {modes}") from None
        self._notify_watchers()
        await call.reply(204, b"")

    async def _send_counts(self, call: Call) -> None:
        await call.reply_json(200, self._call_counts)


@click.command()
@serving.common_options
@click.option(
    "--calls-per-s", default=2000, help="Rate limit over all clients."
)
@click.option("--list-lag-ms", default=0, help="Delay of list changes.")
def main(
    port: int, name: str, zone: str, calls_per_s: int, list_lag_ms: int
) -> None:
    """Runs a platform stand-in on loopback."""

    async def run() -> None:
        program = PlatformProgram(SystemClock(), calls_per_s)
        program.set_list_lag(list_lag_ms)
        ready_info = {"name": name, "zone": zone}
        await serving.serve(program.make_app(), port, ready_info)

    anyio.run(run)


if __name__ == "__main__":
    main()
