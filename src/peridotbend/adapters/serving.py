"""Runs an ASGI application on a socket with uvicorn."""

import asyncio
import contextlib
import dataclasses
import math
import socket
from collections.abc import Iterator
from typing import Any, cast

import anyio
import uvicorn

from peridotbend.adapters.boundedconnections import BoundedConnection
from peridotbend.adapters.callermemory import CallerMemory
from peridotbend.adapters.connectionlimits import ConnectionLimits
from peridotbend.adapters.reading import (
    BODY_READ_BYTES,
    BufferedReader,
    ReadingTurns,
)
from peridotbend.adapters.waitingconnections import WaitingConnections
from peridotbend.domain.clock import SystemClock

# uvicorn's loop renews the Date header once a second.
DATE_INTERVAL_S = 1.0
# Longer than the platform's load balancer keeps idle connections.
KEEPALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 2_048


class ListenError(Exception):
    """Listening on a configured address failed."""


class _Server(uvicorn.Server):
    """uvicorn server without signal handling and polling."""

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self._exit_requested = anyio.Event()

    def request_exit(self) -> None:
        """Starts the shutdown."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Runs until `request_exit`.

        uvicorn's own loop wakes up ten times a second to poll `should_exit`.
        """
        while not self.should_exit:
            # The argument is a counter of ticks; the header is renewed on 0.
            await self.on_tick(0)
            with anyio.move_on_after(DATE_INTERVAL_S):
                await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


class HttpServer:
    """One HTTP listener.

    It starts no processes and reads no environment variables.
    """

    def __init__(
        self,
        app: Any,
        listener: socket.socket,
        limits: ConnectionLimits | None = None,
        memory: CallerMemory | None = None,
    ):
        self._limits = (limits or ConnectionLimits()).cap_to_open_files()
        self._waiting = waiting = WaitingConnections(SystemClock())
        shared = memory or CallerMemory()
        turns = ReadingTurns()
        buffer = memoryview(bytearray(BODY_READ_BYTES))

        def make_connection(**kwargs: Any) -> BufferedReader:
            connection = BoundedConnection(
                self._limits, waiting, memory=shared, turns=turns, **kwargs
            )
            return BufferedReader(
                connection, connection.count_plain_bytes, buffer
            )

        self._config = uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            # uvicorn's messages are not structured log events, and its
            # tracebacks may contain secrets.
            log_level="critical",
            access_log=False,
            server_header=False,
            timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
            http=cast(type[asyncio.Protocol], make_connection),
            ws="none",
            loop="none",
        )
        self._listener = listener
        self._server = _Server(self._config)
        self._stopped = anyio.Event()

    def apply_limits(
        self,
        max_header_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        """Changes the limits for connections that are opened from now on."""
        self._limits = dataclasses.replace(
            self._limits,
            max_header_bytes=max_header_bytes,
            header_timeout_s=header_timeout_s,
        )
        self._config.timeout_keep_alive = math.ceil(idle_timeout_s)

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return len(self._server.server_state.connections)

    def count_closed(self) -> int:
        """Returns how many connections were closed for others so far."""
        return self._waiting.closed

    def count_tasks(self) -> int:
        """Returns the number of requests that are being served."""
        return len(self._server.server_state.tasks)

    async def run(self) -> None:
        """Serves until stopped."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            self._stopped.set()

    async def stop(self) -> None:
        """Stops listening and waits for running requests to finish."""
        self._server.request_exit()
        await self._stopped.wait()


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening socket; with port 0 the kernel chooses the port.

    Raises:
        ListenError: the address is in use or does not belong to this instance.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server(
            (host, port), family=family, backlog=LISTEN_BACKLOG
        )
    except OSError as error:
        raise ListenError(
            f"cannot listen on {host} port {port}: {error.strerror}; end the"
            " process that uses it, or change the address in the settings"
        ) from error
