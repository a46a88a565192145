"""All instances die after a release whose old runners left unannounced."""

import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3")
)
from versions import HISTORY_S, ReleaseCase, bed_module


class UnannouncedCase(ReleaseCase):
    """The entries of the old runners are removed; no other report is made."""

    is_announced = False
    # Their entries are then older than the history of the store.
    age_s = HISTORY_S + 1.0


async def play(folder):
    """Returns whether the rule was broken."""
    return await UnannouncedCase(folder).play()


bed_module.run_case(play, __file__)
