"""During a release, streams are taken up and go on at the other version."""

import asyncio
import collections
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

import harness  # noqa: E402

TIMEOUT_MS = 15_000
# The figures of the order desk: layout-quote.
ROUTE = {
    "timeout_ms": TIMEOUT_MS,
    "goal_ms": 800,
    "gap_goal_ms": 400,
    "priority": 0,
    "max_attempts": 2,
    "resumable": True,
}
SLOTS = 56
SESSIONS = 200
# Requests of a session before the one that is watched.
EARLIER_TURNS = 3
SHORT_EVENTS = 2
LONG_EVENTS = 45
EVENT_INTERVAL_S = 0.2
TOKENS_PER_EVENT = 6
# `drain_ms` "and a little longer".
DRAIN_S = 2.3
# The client's retries on the sheet.
RETRIES = 1
# The rule allows two.
ALLOWED = 2


class VersionRunner:
    """A sound runner of one software version, with its kept prompt parts."""

    def __init__(self) -> None:
        self.kept: dict[str, int] = {}

    async def behave(
        self,
        runner: harness.Runner,
        request: harness.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Streams as many events as the client asks for."""
        runner.note_run(request)
        for part in request.get("x-prompt-prefix").split(","):
            name, _, tokens = part.partition(":")
            self.kept[name] = int(tokens)
        count = int(request.get("x-token-count").split(",")[1])
        count //= TOKENS_PER_EVENT
        await harness.start_stream(runner, request, writer)
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, count + 1):
            event = harness.make_event(number, f"{runner.version} piece")
            harness.write_chunk(writer, event)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def list_kept(self) -> bytes:
        """Returns the body of the call that lists the kept parts."""
        held = [["", name, tokens, "m"] for name, tokens in self.kept.items()]
        page = {"epoch": 1, "next": len(held), "held": held}
        return json.dumps(page).encode()


def count_events(body: bytes) -> int:
    """Returns how many whole events a client received."""
    return body.count(b"\n\n")


async def ask(
    fleet: harness.Fleet,
    instance: harness.Instance,
    session: int,
    events: int,
    deadline_ms: int,
    headers: tuple[tuple[str, str], ...] = (),
) -> harness.Answer:
    """Sends one attempt of a session's request."""
    client = harness.Client(fleet, instance.frontend)
    answer = await client.send(
        "POST",
        f"/quotes/{session}",
        deadline_ms,
        f"question {session}".encode(),
        (
            ("X-Model", "m"),
            ("X-Token-Count", f"700,{events * TOKENS_PER_EVENT}"),
            ("X-Prompt-Prefix", f"5c1e07a2:60,{session + 256:08x}:640"),
            *headers,
        ),
    )
    client.close()
    return answer


async def stream_to_end(fleet: harness.Fleet, session: int) -> bytes:
    """Reads a long stream, and takes it up again if it breaks.

    Returns:
        the whole events of all attempts, in order.
    """
    start = harness.now()
    begun_by = ""
    received = b""
    for attempt_number in range(1 + RETRIES):
        # Retries reach other nodes.
        instance = fleet.instances[(session + attempt_number) % 2]
        left_ms = TIMEOUT_MS - round(1_000 * (harness.now() - start))
        if left_ms < 500:
            break
        headers: tuple[tuple[str, str], ...] = ()
        if begun_by:
            headers = (
                ("Resumes", begun_by),
                ("Last-Event-Id", str(count_events(received))),
            )
        answer = await ask(
            fleet, instance, session, LONG_EVENTS, left_ms, headers
        )
        if answer.status == 200:
            whole = answer.body[: answer.body.rfind(b"\n\n") + 2]
            if whole and not begun_by:
                begun_by = answer.attempt
            received += whole
        if answer.status == 200 and answer.is_complete:
            break
        wait_s = float(answer.get("retry-after") or 0.05)
        await asyncio.sleep(min(wait_s, left_ms / 3_000))
    return received


async def play(folder: pathlib.Path, record: harness.Record) -> bool:
    """Tells whether the rule held."""
    fleet = harness.Fleet(folder, record, 2)
    with harness.stopping(fleet):
        for name, version in (
            ("a-1", "v1"),
            ("a-2", "v1"),
            ("b-1", "v2"),
            ("b-2", "v2"),
        ):
            add_runner(fleet, name, version)
        route = harness.make_route(
            "/quotes/", "streaming", "assistant-llm", **ROUTE
        )
        await fleet.start(harness.make_config(7, [route]))
        await asyncio.sleep(1.0)
        for turn in range(EARLIER_TURNS):
            answers = await asyncio.gather(
                *(
                    ask(
                        fleet,
                        fleet.instances[session % 2],
                        session,
                        SHORT_EVENTS,
                        TIMEOUT_MS,
                    )
                    for session in range(SESSIONS)
                )
            )
            served = sum(answer.is_complete for answer in answers)
            record.say(f"turn {turn + 1}: {served} answers were whole")
        # The instances have observed the list of runners for longer than a
        # stream may last.
        await asyncio.sleep(20.0)
        streams = [
            asyncio.create_task(stream_to_end(fleet, session))
            for session in range(SESSIONS)
        ]
        await asyncio.sleep(1.0)
        if harness.has_trouble():
            await replace_runner(fleet, record)
        texts = await asyncio.gather(*streams)
        for instance in fleet.instances:
            log = instance.log_path.read_text(encoding="utf-8")
            for line in log.splitlines():
                if '"stream-taken-up"' in line:
                    record.write(f"LOG {instance.host} {line}")
        return judge(record, texts)


async def replace_runner(fleet: harness.Fleet, record: harness.Record) -> None:
    """Starts a runner of v2, then drains one of v1, which leaves."""
    new = add_runner(fleet, "b-3", "v2")
    await new.start()
    fleet.put_runner(new)
    record.write("the release starts b-3")
    await asyncio.sleep(0.5)
    old = fleet.runners[0]
    fleet.put_runner(old, "draining")
    record.write(f"{old.name} drains")
    await asyncio.sleep(DRAIN_S)
    await old.crash()
    fleet.store.delete(f"servers/{old.name}")
    record.write(f"{old.name} has left")


def add_runner(fleet: harness.Fleet, name: str, version: str) -> harness.Runner:
    """Adds a runner that lists the prompt parts that it keeps."""
    kept = VersionRunner()
    runner = fleet.add_runner(
        name, "assistant-llm", kept.behave, slots=SLOTS, version=version
    )
    runner.list_kept = kept.list_kept
    return runner


def judge(record: harness.Record, texts: list[bytes]) -> bool:
    """Counts the streams that hold events of two versions."""
    mixed = 0
    kinds: collections.Counter[str] = collections.Counter()
    for session, text in enumerate(texts):
        versions = {
            line.split()[1].decode()
            for line in text.split(b"\n")
            if line.startswith(b"data:")
        }
        is_whole = count_events(text) == LONG_EVENTS
        label = "+".join(sorted(versions))
        kinds[f"{label} {'whole' if is_whole else 'cut'}"] += 1
        if len(versions) > 1:
            mixed += 1
            record.write(f"MIXED session {session}: {text!r}")
    record.say(f"streams by versions of their events: {dict(kinds)}")
    record.say(f"{mixed} streams hold events of two versions")
    return mixed <= ALLOWED


harness.run_case(__file__, play)
