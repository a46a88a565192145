"""The daemon `peridotbendd`, which runs on each entry instance."""

from peridotbend.adapters import signals

if __name__ == "__main__":
    # The imports below take most of the start.
    signals.take()

import dataclasses
import json
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
from peridotbend.adapters.logs import StructuredLog
from peridotbend.adapters.serving import ListenError
from peridotbend.adapters.settings import NodeSettings, load_settings
from peridotbend.domain.ports import EventLog
from peridotbend.node import Node, TextFileError


@click.command()
@click.option(
    "--settings",
    "path",
    envvar="PERIDOTBEND_SETTINGS",
    type=click.Path(dir_okay=False),
    help="YAML file with the settings of this process.",
)
def main(path: str | None) -> None:
    """Serves callers, peers and operators until SIGTERM has drained it.

    Prints one line of JSON with the bound ports when it is ready to serve.
    Exit codes: 0 drained, 1 bad settings, 2 bad usage, 3 an address is in use.
    """
    loaded = load_settings(path, os.environ)
    if isinstance(loaded, Err):
        for problem in loaded.err_value:
            click.echo(str(problem), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = loaded.ok_value
    log = StructuredLog(settings.log_level, instance=settings.name)
    try:
        anyio.run(run_node, settings, log, backend_options=BACKEND_OPTIONS)
    except* TextFileError as failed:
        exit_with(failed, EXIT_BAD_SETTINGS)
    except* ListenError as failed:
        exit_with(failed, EXIT_CANNOT_LISTEN)


async def run_node(settings: NodeSettings, log: EventLog) -> None:
    """Runs a node; SIGTERM and SIGINT drain it."""
    if signals.is_end_requested():
        return
    node = Node(settings, log)
    started = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, node)
        tasks.start_soon(_print_ports, node, started)
        await node.run(started)
        tasks.cancel_scope.cancel()


async def _watch_signals(node: Node) -> None:
    async for received in signals.receive():
        # The others have no meaning here.
        if received in (signal.SIGTERM, signal.SIGINT):
            node.start_drain()


async def _print_ports(node: Node, started: anyio.Event) -> None:
    await started.wait()
    ports = dataclasses.asdict(node.ports)
    print(json.dumps({"ready": True, "port": ports["caller"], **ports}))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
