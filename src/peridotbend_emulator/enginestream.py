"""Prompts, deterministic answers and streams of the emulated engine."""

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

import anyio
import xxhash

from peridotbend_emulator.enginemodel import BLOCK_TOKENS
from peridotbend_emulator.serving import Call, CallError

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16
DONE_EVENT = b"data: [DONE]\n\n"


def parse_chat(body: dict[str, Any]) -> tuple[list[dict[str, Any]], int]:
    """Returns the messages and the maximum output tokens of a request body."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not all(
        isinstance(m, dict) and isinstance(m.get("content"), str)
        for m in messages
    ):
        raise CallError(400, "messages is not a list with text contents")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise CallError(400, "max_tokens is not an integer above 0")
    return messages, max_tokens


def join_prompt(messages: Sequence[dict[str, Any]]) -> str:
    """Returns the text of all messages."""
    return "".join(message["content"] for message in messages)


def count_prompt_tokens(prompt: str) -> int:
    """Returns the length of a prompt, rounded up to whole tokens."""
    return max(1, -(-len(prompt) // CHARACTERS_PER_TOKEN))


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Returns one hash per full block, of all text up to its end."""
    block_characters = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    state = xxhash.xxh64()
    hashes = []
    for end in range(block_characters, len(prompt) + 1, block_characters):
        state.update(prompt[end - block_characters : end].encode())
        hashes.append(state.intdigest())
    return tuple(hashes)


def hash_prompt(prompt: str) -> int:
    """Returns the seed from which the answer to a prompt is generated."""
    return xxhash.xxh64_intdigest(prompt.encode())


def make_token(seed: int, index: int) -> str:
    """Returns the output token at an index of an answer."""
    value = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed=seed)
    return f"{value & 0xFFFFFF:06x} "


def make_answer(messages: Sequence[dict[str, Any]], max_tokens: int) -> str:
    """Returns the whole answer, the same at each engine, to these messages."""
    seed = hash_prompt(join_prompt(messages))
    return "".join(make_token(seed, index) for index in range(max_tokens))


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """An answer that is being produced, and the state of its readers."""

    stream_id: str
    model: str
    seed: int
    prompt_tokens: int
    produced_tokens: int = 0
    prefill_tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    delivered: bool = False
    readers: int = 0
    # Number of readers so far; if it is unchanged, no reader has resumed.
    attach_count: int = 0
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Wakes the readers."""
        self.changed.set()
        self.changed = anyio.Event()

    def render_event(self, index: int) -> bytes:
        """Returns a token as a server-sent event; event IDs count from 1."""
        choice = {
            "index": 0,
            "delta": {"content": make_token(self.seed, index)},
        }
        data = json.dumps({"choices": [choice]})
        return f"id: {index + 1}\ndata: {data}\n\n".encode()

    def render_completion(self) -> dict[str, object]:
        """Returns the answer as one JSON object."""
        tokens = (make_token(self.seed, i) for i in range(self.produced_tokens))
        message = {"role": "assistant", "content": "".join(tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "length"}
        return {
            "id": self.stream_id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.produced_tokens,
            },
        }


async def write_events(
    call: Call, stream: Stream, last_event_id: int, break_at: int | None
) -> None:
    """Sends the events after `last_event_id` as they come, then `[DONE]`.

    Closes the connection after event `break_at`, or when the stream is
    cancelled, so that an incomplete answer never looks complete.
    """
    headers = {"content-type": "text/event-stream"}
    await call.start_response(
        200, {**headers, "engine-stream": stream.stream_id}
    )
    while not stream.cancelled:
        changed = stream.changed
        while (
            last_event_id < stream.produced_tokens and last_event_id != break_at
        ):
            await call.write(stream.render_event(last_event_id))
            last_event_id += 1
        if last_event_id == break_at:
            break
        if stream.finished:
            await call.write(DONE_EVENT, more_body=False)
            stream.delivered = not call.transport.is_closing()
            return
        await changed.wait()
    call.close_connection()
