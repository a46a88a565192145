"""Links of the instances to the runners, which faults cut."""

import enum


class LinkState(enum.Enum):
    """How connections of an instance to runners behave."""

    OPEN = "open"
    # New connections are refused, and open ones reset.
    REFUSED = "refused"
    # New connections are refused, and open ones live on.
    CLOSED_TO_NEW = "closed to new"
    # New connections are accepted and reset, and open ones reset.
    RESET = "reset"
    # Connections stay open, and nothing comes through.
    SILENT = "silent"
    # Requests stay unread, while answers to others come through.
    DEAF = "deaf"


CUT_STATES = (
    LinkState.REFUSED,
    LinkState.CLOSED_TO_NEW,
    LinkState.RESET,
    LinkState.SILENT,
)
REFUSING_STATES = frozenset((LinkState.REFUSED, LinkState.CLOSED_TO_NEW))


class Link:
    """The link of one instance to all runners."""

    def __init__(self, index: int):
        self.index = index
        self.state = LinkState.OPEN
        # An instance may be cut off for the whole run.
        self.is_fixed = False
