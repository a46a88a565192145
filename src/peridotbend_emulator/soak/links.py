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
    # Something on the way accepts new connections. It answers none of them, or
    # with a page of its own, or with a head that no body follows, with or
    # without the stamp of a runner.
    UNANSWERED = "unanswered"
    PAGE = "page"
    HEAD_ONLY = "head only"
    ECHO = "echo"
    # New connections are never established.
    HANGING = "hanging"


CUT_STATES = (
    LinkState.REFUSED,
    LinkState.CLOSED_TO_NEW,
    LinkState.RESET,
    LinkState.SILENT,
)
# The fault that cuts some links for a whole run in each form.
PARTIAL_CUTS = {
    "part-reset": LinkState.RESET,
    "part-silent": LinkState.UNANSWERED,
    "part-page": LinkState.PAGE,
    "part-head": LinkState.HEAD_ONLY,
    "part-echo": LinkState.ECHO,
    "part-refused": LinkState.REFUSED,
    "part-hanging": LinkState.HANGING,
}
REFUSING_STATES = frozenset((LinkState.REFUSED, LinkState.CLOSED_TO_NEW))


class Link:
    """The links of one instance to the runners."""

    def __init__(self, index: int):
        self.index = index
        self.state = LinkState.OPEN
        # An instance may be cut off for the whole run.
        self.is_fixed = False
        # Addresses of runners to which the state does not apply.
        self.spared: frozenset[str] = frozenset()

    def find_state(self, host: str) -> LinkState:
        """Returns how connections to the runner at an address behave."""
        return LinkState.OPEN if host in self.spared else self.state
