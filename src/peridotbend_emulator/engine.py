"""Emulated model engine: `python -m peridotbend_emulator.engine`."""

import dataclasses
import functools
import os
import secrets
from typing import Any

import anyio
import anyio.abc
import click

from peridotbend.domain.clock import Clock, SystemClock
from peridotbend_emulator import serving
from peridotbend_emulator.enginemodel import (
    EngineModel,
    EngineSettings,
    EventKind,
)
from peridotbend_emulator.enginestream import (
    Stream,
    count_prompt_tokens,
    hash_prefixes,
    hash_prompt,
    join_prompt,
    parse_chat,
    write_events,
)
from peridotbend_emulator.runlog import RunLog, request_key
from peridotbend_emulator.serving import App, Call, CallError

CRASH_MARKER = "CRASH-ENGINE"
# EX_SOFTWARE of sysexits.h: tests tell a crash from a signal by it.
CRASH_EXIT_CODE = 70


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of the server other than those of the engine model."""

    # How long a stream without a reader is kept for a reader to resume it.
    resume_window_ms: int
    # File to which the key of each request is appended.
    ran_file: str | None


class EngineServer:
    """Serves the engine protocol from an `EngineModel` in real time."""

    def __init__(
        self, model: EngineModel, settings: ServerSettings, clock: Clock
    ):
        self.incarnation = secrets.token_hex(8)
        self._model = model
        self._settings = settings
        self._clock = clock
        self._run_log = RunLog(settings.ran_file)
        self._streams: dict[str, Stream] = {}
        self._submitted = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._break_after_events: int | None = None
        self._remaining_breaks = 0

    def make_app(self) -> App:
        """Returns an application with the routes of the engine."""
        app = App()
        app.route("POST", "/v1/chat/completions", self._complete_chat)
        app.route("GET", "/v1/streams/*", self._resume)
        app.route("DELETE", "/v1/streams/*", self._cancel)
        app.route("GET", "/v1/load", self._send_load)
        app.route("GET", "/v1/stats", self._send_stats)
        app.route("GET", "/v1/ran", self._run_log.handle)
        app.route("POST", "/control/speed", self._control_speed)
        app.route("POST", "/control/break", self._control_break)
        return app

    async def run(self) -> None:
        """Runs engine steps until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                while True:
                    await self._run_until_idle()
                    await self._submitted.wait()
                    self._submitted = anyio.Event()
        finally:
            self._tasks = None

    async def _run_until_idle(self) -> None:
        due_ms = float(self._clock.now_ms())
        while not self._model.is_idle:
            result = self._model.step()
            # Each step is due one step time after the last one was due, so that
            # timer delays do not add up. After a pause of the process, steps
            # do not run faster to catch up.
            now_ms = self._clock.now_ms()
            due_ms = max(due_ms, now_ms - result.elapsed_ms)
            due_ms += result.elapsed_ms
            await anyio.sleep(max(0.0, due_ms - now_ms) / 1000)
            for event in result.events:
                stream = self._streams.get(event.request_id)
                if stream is not None:
                    self._apply_event(stream, event.kind, event.prefill_tokens)

    def _apply_event(
        self, stream: Stream, kind: EventKind, prefill_tokens: int
    ) -> None:
        stream.prefill_tokens = prefill_tokens
        if kind is EventKind.FINISHED:
            stream.finished = True
        else:
            stream.produced_tokens += 1
        stream.notify()

    async def _complete_chat(self, call: Call) -> None:
        body = call.json()
        messages, max_tokens = parse_chat(body)
        self._run_log.record(request_key(call))
        prompt = join_prompt(messages)
        if CRASH_MARKER in prompt:
            os._exit(CRASH_EXIT_CODE)
        stream = self._submit(prompt, max_tokens, str(body.get("model", "")))
        if body.get("stream") is True:
            await self._send_stream(call, stream, 0)
        else:
            await self._send_completion(call, stream)

    def _submit(self, prompt: str, max_tokens: int, model: str) -> Stream:
        stream = Stream(
            stream_id=secrets.token_hex(16),
            model=model,
            seed=hash_prompt(prompt),
            prompt_tokens=count_prompt_tokens(prompt),
        )
        self._streams[stream.stream_id] = stream
        self._model.submit(
            stream.stream_id,
            stream.prompt_tokens,
            hash_prefixes(prompt),
            max_tokens,
        )
        self._submitted.set()
        return stream

    async def _resume(self, call: Call) -> None:
        stream = self._find_stream(call.path_tail)
        try:
            last_event_id = int(call.headers.get("last-event-id", "0"))
        except ValueError:
            raise CallError(400, "Last-Event-ID is not an integer") from None
        if not 0 <= last_event_id <= stream.produced_tokens:
            raise CallError(400, "Last-Event-ID is not an event that was sent")
        await self._send_stream(call, stream, last_event_id)

    async def _cancel(self, call: Call) -> None:
        self._remove_stream(self._find_stream(call.path_tail))
        await call.reply(204, b"")

    def _find_stream(self, stream_id: str) -> Stream:
        stream = self._streams.get(stream_id)
        if stream is None:
            raise CallError(404, "no such stream")
        return stream

    def _remove_stream(self, stream: Stream) -> None:
        """Removes a stream; its prefill is wasted unless it was delivered."""
        self._streams.pop(stream.stream_id, None)
        stream.cancelled = True
        if not self._model.cancel(stream.stream_id) and not stream.delivered:
            self._model.count_wasted(stream.prefill_tokens)
        stream.notify()

    async def _send_stream(
        self, call: Call, stream: Stream, last_event_id: int
    ) -> None:
        stream.readers += 1
        stream.attach_count += 1
        try:
            async with anyio.create_task_group() as tasks:
                cancel_on_disconnect = functools.partial(
                    _cancel_on_disconnect, call
                )
                tasks.start_soon(cancel_on_disconnect, tasks.cancel_scope)
                await write_events(
                    call,
                    stream,
                    last_event_id,
                    self._claim_break(last_event_id),
                )
                tasks.cancel_scope.cancel()
        finally:
            stream.readers -= 1
            if self._tasks is not None:
                self._tasks.start_soon(
                    self._expire_unused, stream, stream.attach_count
                )

    def _claim_break(self, last_event_id: int) -> int | None:
        """Returns the event after which to break, or None not to break."""
        if self._break_after_events is None or self._remaining_breaks == 0:
            return None
        self._remaining_breaks -= 1
        return last_event_id + self._break_after_events

    async def _expire_unused(self, stream: Stream, attach_count: int) -> None:
        await anyio.sleep(self._settings.resume_window_ms / 1000)
        is_unused = stream.readers == 0 and stream.attach_count == attach_count
        if is_unused and stream.stream_id in self._streams:
            self._remove_stream(stream)

    async def _send_completion(self, call: Call, stream: Stream) -> None:
        async with anyio.create_task_group() as tasks:
            cancel_on_disconnect = functools.partial(
                _cancel_on_disconnect, call
            )
            tasks.start_soon(cancel_on_disconnect, tasks.cancel_scope)
            while not stream.finished and not stream.cancelled:
                await stream.changed.wait()
            if not stream.cancelled:
                headers = {"engine-stream": stream.stream_id}
                completion = stream.render_completion()
                await call.reply_json(200, completion, headers)
                stream.delivered = not call.transport.is_closing()
            tasks.cancel_scope.cancel()
        # Once its reader has gone, nobody can resume the stream: only this
        # answer carries its ID.
        if not stream.cancelled:
            self._remove_stream(stream)
        if not stream.delivered:
            call.abort_connection()

    async def _send_load(self, call: Call) -> None:
        sample = self._model.load()
        load = {
            "at_ms": sample.at_ms,
            # The reader's clock may differ: the age of the report is now_ms
            # minus at_ms.
            "now_ms": self._clock.now_ms(),
            "running": sample.running,
            "waiting_tokens": sample.waiting_tokens,
            "incarnation": self.incarnation,
        }
        await call.reply_json(200, load)

    async def _send_stats(self, call: Call) -> None:
        stats = self._model.stats
        await call.reply_json(
            200,
            {
                "prefill_computed": stats.computed,
                "prefill_reused": stats.reused,
                "prefill_thrown_away": stats.wasted,
                "open_streams": len(self._streams),
            },
        )

    async def _control_speed(self, call: Call) -> None:
        speed = call.json().get("speed")
        if not isinstance(speed, int | float) or speed <= 0:
            raise CallError(400, "speed is not a number above 0")
        self._model.set_speed(float(speed))
        await call.reply(204, b"")

    async def _control_break(self, call: Call) -> None:
        """Breaks the connections of the next `times` streams.

        Each breaks after `after_events` further events.
        """
        self._break_after_events = call.json_int("after_events", 0)
        self._remaining_breaks = call.json_int("times", 1)
        await call.reply(204, b"")


async def _cancel_on_disconnect(call: Call, scope: anyio.CancelScope) -> None:
    await call.wait_disconnect()
    scope.cancel()


_DEFAULTS = EngineSettings()


@click.command()
@serving.common_options
@click.option("--speed", default=_DEFAULTS.speed, help="2 is twice as fast.")
@click.option("--max-batch", default=_DEFAULTS.max_batch)
@click.option("--step-prefill-tokens", default=_DEFAULTS.step_prefill_tokens)
@click.option("--step-ms", default=_DEFAULTS.step_ms)
@click.option("--prefill-ms-per-token", default=_DEFAULTS.prefill_ms_per_token)
@click.option(
    "--decode-ms-per-request", default=_DEFAULTS.decode_ms_per_request
)
@click.option("--cache-blocks", default=_DEFAULTS.cache_blocks)
@click.option("--load-lag-ms", default=_DEFAULTS.load_lag_ms)
@click.option("--resume-window-ms", default=10_000)
@click.option(
    "--ran-file",
    default=None,
    help="File to append the key of each request to.",
)
def main(
    port: int,
    name: str,
    zone: str,
    resume_window_ms: int,
    ran_file: str | None,
    **model_options: Any,
) -> None:
    """Runs an emulated model engine on the loopback interface."""
    clock = SystemClock()
    model = EngineModel(EngineSettings(**model_options), clock)
    settings = ServerSettings(resume_window_ms, ran_file)

    async def run() -> None:
        server = EngineServer(model, settings, clock)
        process_info = {
            "name": name,
            "zone": zone,
            "incarnation": server.incarnation,
        }
        await serving.serve(server.make_app(), port, process_info, server.run)

    anyio.run(run)


if __name__ == "__main__":
    main()
