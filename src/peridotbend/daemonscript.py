"""The script `peridotbendd`."""

from peridotbend.adapters import signals


def main() -> None:
    """Runs the daemon; signals that arrive while it is imported are kept."""
    signals.take()
    from peridotbend import daemon

    daemon.main()
