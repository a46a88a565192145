"""Loopback addresses of the daemons that tests start."""

import os

# Not below PERIDOTBEND_, since daemons refuse settings that they don't know.
# The first three numbers of the addresses. Work trees whose tests run side by
# side set different ones, since each daemon listens on a fixed metrics port.
LOOPBACK_NET = os.environ.get("LOOPBACK_TEST_NET", "127.0.0")


def make_host(number: int) -> str:
    """Returns the address of an instance."""
    return f"{LOOPBACK_NET}.{number}"
