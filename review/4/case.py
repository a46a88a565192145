"""A sound runner is silent for a second; streams are broken off for that."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

import harness  # noqa: E402

# The figures of the order desk: layout-quote, and its runners.
TIMEOUT_MS = 15_000
ROUTE = {
    "timeout_ms": TIMEOUT_MS,
    "goal_ms": 800,
    "gap_goal_ms": 400,
    "priority": 0,
    "max_attempts": 2,
    "resumable": True,
}
SLOTS = 11
RUNNERS = 3
EVENTS = 64
EVENT_INTERVAL_S = 0.12
FIRST_EVENT_S = 0.1
# As many streams as the runners have places for, less one for each runner.
STREAMS = RUNNERS * (SLOTS - 1)
# "For a second or so".
SILENCE_S = 1.1
INSTANCES = 2


class StreamRunner:
    """A sound runner: some slots, a queue, and all streams at one pace."""

    def __init__(self, record: harness.Record) -> None:
        self._record = record
        self._slots = asyncio.Semaphore(SLOTS)
        self._may_flow = asyncio.Event()
        self._may_flow.set()

    async def be_silent(self, name: str) -> None:
        """Sends nothing for a while, and then goes on."""
        self._record.write(f"SILENT {name}")
        self._may_flow.clear()
        await asyncio.sleep(SILENCE_S)
        self._may_flow.set()
        self._record.write(f"GOES ON {name}")

    async def behave(
        self,
        runner: harness.Runner,
        request: harness.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; drops it when its connection closes."""
        work = asyncio.ensure_future(self._work(runner, request, writer))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
        attempt = request.get("x-attempt-id")
        if not work.done():
            self._record.write(f"CALLER GONE {runner.name} {attempt}")
        for task in (work, left):
            task.cancel()
        await asyncio.gather(work, left, return_exceptions=True)
        return False

    async def _work(
        self,
        runner: harness.Runner,
        request: harness.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = request.get("x-attempt-id")
        first = int(request.get("last-event-id") or 0) + 1
        async with self._slots:
            runner.note_run(request)
            self._record.write(f"FROM {runner.name} {attempt} event {first}")
            await asyncio.sleep(FIRST_EVENT_S)
            await self._may_flow.wait()
            await harness.start_stream(runner, request, writer)
            for number in range(first, EVENTS + 1):
                await self._may_flow.wait()
                event = harness.make_event(number, f"piece-{number}")
                harness.write_chunk(writer, event)
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            await self._may_flow.wait()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self._record.write(f"WHOLE {runner.name} {attempt}")


async def play(folder: pathlib.Path, record: harness.Record) -> bool:
    """Tells whether the rule held."""
    fleet = harness.Fleet(folder, record, INSTANCES)
    behaviours = []
    with harness.stopping(fleet):
        for index in range(RUNNERS):
            behaviours.append(StreamRunner(record))
            fleet.add_runner(
                f"i-{index}",
                "assistant-llm",
                behaviours[-1].behave,
                slots=SLOTS,
            )
        route = harness.make_route(
            "/quotes/", "streaming", "assistant-llm", **ROUTE
        )
        await fleet.start(harness.make_config(7, [route]))
        await asyncio.sleep(1.0)
        tasks = []
        for number in range(STREAMS):
            instance = fleet.instances[number % INSTANCES]
            client = harness.Client(fleet, instance.frontend)
            headers = (
                ("X-Model", "m"),
                ("X-Token-Count", "700,400"),
                ("X-Prompt-Prefix", f"5c1e07a2:60,{number + 1:08x}:640"),
            )
            tasks.append(
                asyncio.create_task(
                    client.send(
                        "POST",
                        f"/quotes/{number}",
                        TIMEOUT_MS,
                        b"plan" * 100,
                        headers,
                    )
                )
            )
            await asyncio.sleep(0.03)
        await asyncio.sleep(0.5)
        record.write("the settings change; SIGHUP to all instances")
        for instance in fleet.instances:
            instance.write_settings(a_new_field=1)
            instance.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        if harness.has_trouble():
            await behaviours[0].be_silent("i-0")
        answers = await asyncio.gather(*tasks)
        return judge(fleet, record, answers)


def judge(
    fleet: harness.Fleet, record: harness.Record, answers: list[harness.Answer]
) -> bool:
    """Applies the rule to what the clients saw."""
    passed_on = {
        request.get("x-attempt-id")
        for runner in fleet.runners
        for _, request in runner.ran
    }
    cut = [
        answer
        for answer in answers
        if answer.outcome in ("closed", "reset")
        and not answer.is_complete
        and answer.attempt in passed_on
        # Not because of the time limit or the timeout of the route.
        and answer.took_s < 0.9 * TIMEOUT_MS / 1_000
    ]
    whole = sum(answer.is_complete for answer in answers)
    record.say(
        f"{len(answers)} streams, of which {whole} were complete and"
        f" {len(cut)} ended early after they were passed on"
    )
    for answer in cut:
        events = answer.body.count(b"\n\n")
        record.say(
            f"cut: {answer.attempt} after {events} of {EVENTS} events,"
            f" {answer.took_s:.1f} s after it was sent"
        )
    return not cut


harness.run_case(__file__, play)
