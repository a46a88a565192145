"""The daemon that runs an entry instance on the users' platform."""

from peridotbend.adapters import signals

if __name__ == "__main__":
    # The imports below take most of the start.
    signals.take()

import os
import signal
import sys

import anyio
import click
from result import Err

from peridotbend.adapters.eventloop import BACKEND_OPTIONS
from peridotbend.adapters.exits import (
    EXIT_BAD_SETTINGS,
    EXIT_CANNOT_LISTEN,
    exit_with,
)
from peridotbend.adapters.logs import RateLimitedStream, StructuredLog
from peridotbend.adapters.serving import ListenError
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.edgenode import EdgeNode
from peridotbend.platform.settings import load_settings

# The deploy file uses the same port.
DEFAULT_METRICS_PORT = 9_464
# The settings file is polled, since the platform may change it without sending
# a signal.
SETTINGS_POLL_INTERVAL_S = 0.5


@click.command()
@click.option(
    "--settings",
    "path",
    envvar="PERIDOTBEND_CONFIG",
    required=True,
    type=click.Path(dir_okay=False),
    help="YAML file with the settings of this process.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65_535),
    default=DEFAULT_METRICS_PORT,
    show_default=True,
    help="Port of the metrics page; 0 lets the kernel choose.",
)
@click.option(
    "--check",
    is_flag=True,
    help="Only read the settings, and say whether they are valid.",
)
def main(path: str, metrics_port: int, check: bool) -> None:
    """Serves callers until SIGTERM has drained it.

    SIGHUP reads the settings again, SIGUSR1 logs the state.
    Exit codes: 0 drained, 1 bad settings, 2 bad usage, 3 an address is in use.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        click.echo(loaded.err_value, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = loaded.ok_value
    if check:
        click.echo(f"{path}: valid")
        return
    stream = RateLimitedStream(sys.stdout.fileno())
    log = StructuredLog("debug", stream, instance=settings.name)
    try:
        node = EdgeNode(settings, log, metrics_port)
        anyio.run(_run, node, path, log, backend_options=BACKEND_OPTIONS)
    except* ListenError as failed:
        exit_with(failed, EXIT_CANNOT_LISTEN)


async def _run(node: EdgeNode, path: str, log: EventLog) -> None:
    if signals.is_end_requested():
        return
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, node, path, log)
        tasks.start_soon(_watch_settings, node, path, log)
        await node.run()
        tasks.cancel_scope.cancel()


async def _watch_signals(node: EdgeNode, path: str, log: EventLog) -> None:
    async for received in signals.receive():
        if received == signal.SIGHUP:
            _reload(node, path, log)
        elif received == signal.SIGUSR1:
            log.emit(Event.STATE_DUMPED, state=node.dump())
        else:
            node.start_drain()


async def _watch_settings(node: EdgeNode, path: str, log: EventLog) -> None:
    current = _read_file_version(path)
    while True:
        await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
        found = _read_file_version(path)
        if found is not None and found != current:
            current = found
            _reload(node, path, log)


def _read_file_version(path: str) -> tuple[int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next poll finds the new one.
        return None
    return status.st_mtime_ns, status.st_size


def _reload(node: EdgeNode, path: str, log: EventLog) -> None:
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        log.emit(Event.SETTINGS_REFUSED, problem=loaded.err_value)
    else:
        node.apply_settings(loaded.ok_value)


if __name__ == "__main__":
    main()
