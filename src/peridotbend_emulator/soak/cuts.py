"""What stands between an instance and a runner that it does not reach."""

import asyncio
import contextlib
import socket

from peridotbend.platform import wire
from peridotbend_emulator.soak.links import LinkState
from peridotbend_emulator.soak.messages import make_answer, read_request

# Connections that fill the queue of a listener which accepts none.
FILLERS = 4


class HangingListener:
    """A port at which connections are never established."""

    def __init__(self, host: str, port: int):
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            listener.listen(0)
            self.port = int(listener.getsockname()[1])
            for _ in range(FILLERS):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex((host, self.port))
            self._sockets = stack.pop_all()

    def close(self) -> None:
        """Refuses connections from now on."""
        self._sockets.close()


async def intercept(
    state: LinkState, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serves a connection in place of a runner, in the form of the cut."""
    with contextlib.suppress(ConnectionError):
        while (request := await read_request(reader)) is not None:
            attempt = request.get(wire.ATTEMPT_ID)
            if state is LinkState.PAGE:
                page = b"<html>no server is available</html>"
                kind = ("Content-Type", "text/html")
                writer.write(make_answer(502, page, (kind,)))
            elif state in (LinkState.HEAD_ONLY, LinkState.ECHO):
                is_stamped = state is LinkState.HEAD_ONLY
                stamp = f"{wire.SERVER_STAMP}: x\r\n" if is_stamped else ""
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    b"Content-Length: 999\r\n"
                    + f"{stamp}{wire.ATTEMPT_ID}: {attempt}\r\n\r\n".encode()
                )
            await writer.drain()
    writer.close()
