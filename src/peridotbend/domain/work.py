"""Estimates of the work that a request causes at a target."""

import dataclasses
import enum
import json
from collections import OrderedDict

import xxhash
from result import Err, Ok, Result

from peridotbend.domain.text import EngineType, Kind

CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 256
# 64 KiB of prompt; longer prompts rarely share more than that.
MAX_PREFIX_BLOCKS = 256
DEFAULT_OUTPUT_TOKENS = 256
# No engine in use generates more. A larger limit in a body stands for "no
# limit" and would not fit into any window.
MAX_OUTPUT_TOKENS = 131_072
# Assumed for each image or audio part, which has no characters to count.
MEDIA_PART_TOKENS = 1_024
# One unit, so that the window of an application counts concurrent calls.
APPLICATION_WORK_UNITS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Expected cost of a request, estimated before it runs."""

    prompt_tokens: int
    output_tokens: int
    # Hashes of the consecutive blocks at the start of the prompt; each one also
    # covers all blocks before.
    prefix_hashes: tuple[int, ...] = ()
    # Whether a model engine is asked for an event stream.
    is_streaming: bool = False

    @property
    def units(self) -> float:
        """Work units: one for each token, prompt or output."""
        return float(self.prompt_tokens + self.output_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkItem:
    """A request as the scheduler sees it."""

    # Unique within the process; never the whole request ID.
    key: str
    kind: Kind
    account: str
    work: WorkEstimate
    deadline_at_ms: int
    # True for a request that runs on trial because it is suspected of crashing
    # targets. It shares no target with another suspect, and it runs alone if a
    # target is idle.
    on_trial: bool = False


class GrantOutcome(enum.StrEnum):
    """How the use of a granted target ended."""

    COMPLETED = "completed"
    # Nothing was written: the connection failed or the gate refused.
    NOT_WRITTEN = "not-written"
    CONNECT_FAILED = "connect-failed"
    # The target crashed or broke the stream after the dispatch.
    DIED = "died"
    TIMED_OUT = "timed-out"


def estimate_work(
    kind: Kind, engine: EngineType, body: bytes
) -> Result[WorkEstimate, str]:
    """Estimates what a request costs; an Err says what to correct."""
    if engine is EngineType.APPLICATION:
        return Ok(WorkEstimate(APPLICATION_WORK_UNITS, 0))
    try:
        request = json.loads(body)
    except (ValueError, RecursionError) as problem:
        return Err(
            f"The body of a {kind.name} request is not valid JSON"
            f" ({problem}); send a chat completion request."
        )
    if not isinstance(request, dict):
        return Err("The body is not a JSON object; send an object.")
    output = _read_output_limit(request)
    if isinstance(output, Err):
        return output
    return _read_prompt(request).map(
        lambda prompt: WorkEstimate(
            prompt.tokens,
            output.ok_value,
            hash_prefix(prompt.text),
            request.get("stream") is True,
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Prompt:
    text: str
    tokens: int


def _read_output_limit(request: dict[str, object]) -> Result[int, str]:
    for name in ("max_completion_tokens", "max_tokens"):
        limit = request.get(name)
        if limit is None:
            continue
        if type(limit) is not int or limit < 1:
            return Err(f"`{name}` must be a whole number of at least 1.")
        return Ok(min(limit, MAX_OUTPUT_TOKENS))
    return Ok(DEFAULT_OUTPUT_TOKENS)


def _read_prompt(request: dict[str, object]) -> Result[_Prompt, str]:
    """Joins the parts of the prompt in the order in which they are cached."""
    messages = request.get("messages")
    if not isinstance(messages, list) or not messages:
        return Err("`messages` must be a list with at least one message.")
    # The model comes first, because engines share no cache between models.
    texts = [f"{request.get('model', '')}\n"]
    if tools := request.get("tools"):
        texts.append(_to_canonical_json(tools))
    media_parts = 0
    for position, message in enumerate(messages):
        if not isinstance(message, dict):
            return Err(f"`messages[{position}]` must be a JSON object.")
        texts.append(f"{message.get('role', '')}\n")
        for part in _split_content(message.get("content")):
            if isinstance(part, str):
                texts.append(part)
            else:
                media_parts += 1
                texts.append(_to_canonical_json(part))
        if calls := message.get("tool_calls"):
            texts.append(_to_canonical_json(calls))
        texts.append("\n")
    text = "".join(texts)
    counted = len(text) // CHARACTERS_PER_TOKEN
    if media_parts:
        # The encoded bytes of media are not prompt characters.
        counted = _count_text(messages) // CHARACTERS_PER_TOKEN
    return Ok(_Prompt(text, max(1, counted + media_parts * MEDIA_PART_TOKENS)))


def _split_content(content: object) -> list[object]:
    """Returns the parts of a message: strings for text, others unchanged."""
    if content is None:
        return []
    if not isinstance(content, list):
        return [content]
    return [
        part["text"]
        if isinstance(part, dict) and isinstance(part.get("text"), str)
        else part
        for part in content
    ]


def _count_text(messages: list[dict[str, object]]) -> int:
    return sum(
        len(part)
        for message in messages
        for part in _split_content(message.get("content"))
        if isinstance(part, str)
    )


def _to_canonical_json(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def hash_prefix(text: str) -> tuple[int, ...]:
    """Hashes the full blocks of a prompt, each with all blocks before it."""
    limit = MAX_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES
    # JSON can hold lone surrogates, which strict UTF-8 refuses.
    data = text[:limit].encode("utf-8", "surrogatepass")[:limit]
    hashes: list[int] = []
    seed = 0
    for end in range(PREFIX_BLOCK_BYTES, len(data) + 1, PREFIX_BLOCK_BYTES):
        block = data[end - PREFIX_BLOCK_BYTES : end]
        seed = xxhash.xxh3_64_intdigest(block, seed=seed)
        hashes.append(seed)
    return tuple(hashes)


class OutputLengthLearner:
    """Learns the ratio of actual to estimated output length of each kind."""

    # Weight of a new sample: about the last ten answers of a kind count.
    SAMPLE_WEIGHT = 0.1
    MIN_RATIO = 0.02
    # An answer exceeds its estimate only where the caller set no limit.
    MAX_RATIO = 8.0
    MAX_KINDS = 4_096

    def __init__(self) -> None:
        self._ratios: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, kind: Kind, estimated: int, actual: int) -> None:
        """Records the estimated and the actual output tokens of an answer."""
        if estimated < 1 or actual < 0:
            return
        key = (kind.service, kind.name)
        sample = min(self.MAX_RATIO, max(self.MIN_RATIO, actual / estimated))
        ratio = self._ratios.pop(key, 1.0)
        self._ratios[key] = ratio + self.SAMPLE_WEIGHT * (sample - ratio)
        if len(self._ratios) > self.MAX_KINDS:
            self._ratios.popitem(last=False)

    def find_ratio(self, kind: Kind) -> float:
        """Returns the mean ratio of actual to estimated output tokens."""
        return self._ratios.get((kind.service, kind.name), 1.0)
