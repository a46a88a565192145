"""What the runners of a soak keep of prompts, until they end."""

import collections
from collections.abc import Iterator

from peridotbend.platform import wire
from peridotbend_emulator.soak.messages import Request
from peridotbend_emulator.soak.record import Finding, Rule
from peridotbend_emulator.soak.runners import Start


class PromptMemory:
    """The parts of prompts and the runs that each start of a runner keeps."""

    def __init__(self) -> None:
        # Tokens by part.
        self.parts: dict[Start, dict[str, int]] = collections.defaultdict(dict)
        # Paths of requests, by attempt.
        self._runs: dict[Start, dict[str, str]] = collections.defaultdict(dict)

    def has_source(self, start: Start, request: Request) -> bool:
        """Tells whether there is the memory that a request goes on from."""
        source = request.get(wire.KV_FROM).rpartition("/")[2]
        return not source or source in self._runs[start]

    def note_run(self, start: Start, request: Request) -> Iterator[Finding]:
        """Keeps what a run reads; checks from whose memory it goes on."""
        for part in filter(None, request.get(wire.PROMPT_PREFIX).split(",")):
            name, _, tokens = part.partition(":")
            self.parts[start][name] = int(tokens)
        source = request.get(wire.KV_FROM).rpartition("/")[2]
        kept = self._runs[start].get(source, request.target)
        self._runs[start][request.get(wire.ATTEMPT_ID)] = request.target
        if kept != request.target:
            yield Finding(Rule.MIXED, request.target, f"uses memory of {kept}")
