"""Tells which connections to targets bring answers."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import httpcore

from peridotbend.adapters.connections import (
    Connection,
    ForeignBytesError,
    PeerLostError,
)
from peridotbend.domain.paths import Endpoint
from peridotbend.domain.ports import AnswerHead, TargetCall
from peridotbend.domain.targetreach import LinkFault

# Shorter silences tell nothing: the caller may have left, and targets take
# their time.
MIN_SILENCE_MS = 1_000
# Statuses of intermediaries. A target at its limits sends 503 as well.
GATEWAY_STATUSES = frozenset((502, 504))
UNAVAILABLE_STATUS = 503

# Tells whether an answer to a call comes from the target; None if unknown.
AnswerCheck = Callable[[TargetCall, AnswerHead], bool | None]


def is_no_gateway_answer(call: TargetCall, head: AnswerHead) -> bool | None:
    """Judges an answer by its status only."""
    if head.status == UNAVAILABLE_STATUS:
        return None
    return head.status not in GATEWAY_STATUSES


class ReachSink(Protocol):
    """Receives what new connections have shown."""

    def note_answered(
        self,
        target: Endpoint,
        stream: httpcore.AsyncNetworkStream,
        connected_at_ms: int,
    ) -> None:
        """Records that the target answered."""
        ...

    def note_unanswered(
        self,
        target: Endpoint,
        stream: httpcore.AsyncNetworkStream,
        connected_at_ms: int,
        fault: LinkFault,
    ) -> None:
        """Records that a connection ended, or is silent, without an answer."""
        ...


class AnswerWatch:
    """Watches the answer to one call."""

    def __init__(
        self,
        sink: ReachSink | None,
        is_answer: AnswerCheck,
        target: Endpoint,
        connection: Connection,
    ):
        self._sink = sink
        self._is_answer = is_answer
        self._target = target
        self._connection = connection
        # Connections that are kept live on through some cuts, and targets
        # close them while they are idle.
        self._is_done = sink is None or connection.is_reused
        self._is_silent = False
        self._has_head = False
        self._timer: asyncio.TimerHandle | None = None
        self._restart_timer()

    def note_head(self, call: TargetCall, head: AnswerHead) -> None:
        """Records the head of an answer."""
        is_answer = self._is_answer(call, head)
        if is_answer is None:
            self._end()
        elif not is_answer:
            self._report(LinkFault.FOREIGN)
        self._has_head = True
        self._restart_timer()

    def note_data(self) -> None:
        """Records a part of the body, or its end."""
        self._report(None)

    def note_error(self, error: Exception) -> None:
        """Records that the connection failed."""
        is_timeout = isinstance(error, httpcore.TimeoutException)
        if isinstance(error, PeerLostError) or is_timeout:
            self._end()
        elif isinstance(error, ForeignBytesError):
            self._report(LinkFault.FOREIGN)
        else:
            self._report(LinkFault.RESET)

    def close(self) -> None:
        """Records that no more of the answer is awaited."""
        if self._has_head and not self._is_silent:
            self._report(None)
        self._end()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._is_done:
            self._timer = asyncio.get_running_loop().call_later(
                MIN_SILENCE_MS / 1_000, self._note_silence
            )

    def _note_silence(self) -> None:
        # The answer may still come.
        if self._sink is not None and not self._is_silent:
            self._is_silent = True
            fault = LinkFault.HEAD_ONLY if self._has_head else LinkFault.SILENT
            self._sink.note_unanswered(*self._describe(), fault)

    def _report(self, fault: LinkFault | None) -> None:
        if self._is_done or self._sink is None:
            return
        if fault is None:
            self._sink.note_answered(*self._describe())
        else:
            # Another page may come in place of the next answer.
            self._connection.may_keep = False
            if not self._is_silent:
                self._sink.note_unanswered(*self._describe(), fault)
        self._end()

    def _describe(self) -> tuple[Endpoint, httpcore.AsyncNetworkStream, int]:
        connection = self._connection
        return self._target, connection.link, connection.connected_at_ms

    def _end(self) -> None:
        self._is_done = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
