"""All instances die after a release; sessions had answers before."""

import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3")
)
from versions import ReleaseCase, bed_module


class ConversationCase(ReleaseCase):
    """The earlier answers of a session are as long as part of its stream."""

    short_events = 12


async def play(folder):
    """Returns whether the rule was broken."""
    return await ConversationCase(folder).play()


bed_module.run_case(play, __file__)
