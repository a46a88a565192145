"""Asks targets which parts of prompts they keep in memory."""

import dataclasses
from collections.abc import Mapping

import anyio

from peridotbend.domain.clock import Clock
from peridotbend.domain.rendezvous import rank
from peridotbend.edge.ports import EdgeTargetClient
from peridotbend.edge.targetpauses import TargetPauses
from peridotbend.edge.targets import EdgeTarget, TargetList

# A part of a stream that broke off before is kept for longer. All streams that
# are taken up within this time share one call to each target.
CACHE_MS = 500
# Time for an answer. The caller waits, and has lost its stream for longer.
ASK_TIMEOUT_MS = 250
# Limits the calls in large services. The targets that sessions prefer come
# first.
MAX_ASKED = 32
# Bounds memory.
MAX_CACHED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class PartSurvey:
    """Which software versions keep a part of a prompt."""

    # The targets that do, by version.
    holders: Mapping[str, tuple[EdgeTarget, ...]]
    # One of their targets does, or has not answered.
    possible: frozenset[str]


class PromptParts:
    """The prompt parts that targets keep, as they tell on request."""

    def __init__(
        self,
        clock: Clock,
        targets: TargetList,
        client: EdgeTargetClient,
        pauses: TargetPauses,
    ):
        self._clock = clock
        self._targets = targets
        self._client = client
        self._pauses = pauses
        # Time of the answer and the parts, by the run of the target.
        self._cached: dict[int, tuple[int, Mapping[str, int]]] = {}
        self._asking = anyio.Lock()

    async def find_holders(self, service: str, part: str) -> PartSurvey | None:
        """Finds out which software versions keep a part.

        Args:
            service: whose targets are asked.
            part: of a prompt.

        Returns:
            what they tell; None if none does.
        """
        if not part:
            return None
        listed = [t for t in self._targets if t.service == service]
        targets = [t for t in listed if not self._pauses.is_paused(t)]
        asked = rank(part.encode(), targets, lambda t: t.name)[:MAX_ASKED]
        async with self._asking:
            await self._ask(asked)
        told = {t.name: t for t in asked if t.run_hash in self._cached}
        if not told:
            return None
        holders: dict[str, tuple[EdgeTarget, ...]] = {}
        for target in told.values():
            if part in self._cached[target.run_hash][1]:
                known = holders.get(target.software, ())
                holders[target.software] = (*known, target)
        silent = {t.software for t in listed if t.name not in told}
        return PartSurvey(holders, frozenset(silent | holders.keys()))

    async def _ask(self, targets: list[EdgeTarget]) -> None:
        oldest_ms = self._clock.now_ms() - CACHE_MS
        if len(self._cached) > MAX_CACHED:
            self._cached.clear()
        with anyio.move_on_after(ASK_TIMEOUT_MS / 1_000):
            async with anyio.create_task_group() as tasks:
                for target in targets:
                    known = self._cached.get(target.run_hash)
                    if known is None or known[0] < oldest_ms:
                        self._cached.pop(target.run_hash, None)
                        tasks.start_soon(self._ask_one, target)

    async def _ask_one(self, target: EdgeTarget) -> None:
        parts = await self._client.list_prompt_parts(target, ASK_TIMEOUT_MS)
        if parts is not None:
            self._cached[target.run_hash] = self._clock.now_ms(), parts
