"""Runs an ASGI application on a socket with uvicorn."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn

# Longer than the platform's balancer keeps idle connections.
KEEPALIVE_S = 75
BACKLOG = 2_048


class _Server(uvicorn.Server):
    """Leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handlers."""
        yield


class HttpServer:
    """One HTTP listener; it starts no process and reads no environment."""

    def __init__(self, app: Any, listener: socket.socket):
        config = uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            timeout_keep_alive=KEEPALIVE_S,
            http="httptools",
            ws="none",
            loop="none",
        )
        self._listener = listener
        self._server = _Server(config)
        self._stopped = anyio.Event()

    async def run(self) -> None:
        """Serves until stopped."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            self._stopped.set()

    async def stop(self) -> None:
        """Stops listening and waits for the responses that still run."""
        self._server.should_exit = True
        await self._stopped.wait()


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening socket; port 0 lets the kernel choose."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG)
