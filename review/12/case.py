"""All instances die after a release that the store has forgotten."""

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3")
)
from versions import KILL_AFTER_S, ReleaseCase, bed_module


class ForgottenCase(ReleaseCase):
    """The store discards its history sooner than it says."""

    async def disturb(self):
        """Lets the store discard its history, and kills all instances."""
        self.bed.store.discard(0.0)
        self.bed.record.note("the store discards its history")
        await asyncio.sleep(KILL_AFTER_S)
        await self.kill_all()


async def play(folder):
    """Returns whether the rule was broken."""
    return await ForgottenCase(folder).play()


bed_module.run_case(play, __file__)
