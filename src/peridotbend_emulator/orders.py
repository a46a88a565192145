"""Stand-in for an application: `python -m peridotbend_emulator.orders`."""

import dataclasses
import enum
import json

import anyio
import click

from peridotbend_emulator import serving
from peridotbend_emulator.ranlog import RanLog, request_key
from peridotbend_emulator.serving import App, Call, CallError


class BreakPoint(enum.StrEnum):
    """Where the connection of a call is broken."""

    NONE = "none"
    # The order does not run.
    BEFORE_RUN = "before-run"
    # The order runs and no byte of the answer is sent.
    AFTER_RUN = "after-run"
    # The order runs; the head and half of the body are sent.
    MID_ANSWER = "mid-answer"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSettings:
    """Settings of the application."""

    # Refuses fencing numbers older than the largest seen.
    checks_fencing: bool
    ran_file: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that ran."""

    number: int
    key: str
    path: str


class OrderProgram:
    """Runs every order it is sent and never deduplicates.

    A second run of the same key must show up in the counts, so that a test
    can prove that callers and schedulers send an order once.
    """

    def __init__(self, settings: OrderSettings, delay_ms: int):
        self._settings = settings
        self._delay_ms = delay_ms
        self._ran = RanLog(settings.ran_file)
        self._orders: list[Order] = []
        # Keys of calls whose head arrived, whether or not the body did.
        self._received: set[str] = set()
        self._largest_fence = -1
        self._break_point = BreakPoint.NONE
        self._breaks_left = 0

    def make_app(self) -> App:
        """Returns the application with all routes."""
        app = App()
        app.on_head = lambda call: self._received.add(request_key(call))
        app.route("GET", "/v1/received", self._send_received)
        app.route("GET", "/v1/ran", self._ran.handle)
        app.route("GET", "/v1/orders/*", self._send_status)
        app.route("POST", "/control/break", self._control_break)
        app.route("POST", "/control/delay", self._control_delay)
        app.route("POST", "/*", self._run_order)
        return app

    async def _run_order(self, call: Call) -> None:
        break_point = self._take_break()
        await anyio.sleep(self._delay_ms / 1000)
        if break_point is BreakPoint.BEFORE_RUN:
            call.break_connection()
            return
        # No await between the check and the run.
        self._check_fence(call)
        order = self._record(call)
        if break_point is BreakPoint.AFTER_RUN:
            call.break_connection()
            return
        body = json.dumps(
            {"order": order.number, "key": order.key, "status": "confirmed"}
        ).encode()
        if break_point is BreakPoint.MID_ANSWER:
            await _send_half(call, body)
            return
        headers = {"content-type": "application/json"}
        await call.reply(201, body, headers)

    def _record(self, call: Call) -> Order:
        key = request_key(call)
        order = Order(len(self._orders) + 1, key, call.path)
        self._orders.append(order)
        self._ran.record(key)
        return order

    def _check_fence(self, call: Call) -> None:
        value = call.headers.get("fencing-number")
        if value is None or not self._settings.checks_fencing:
            return
        if not value.isdecimal():
            raise CallError(400, "Fencing-Number is not an integer")
        if int(value) < self._largest_fence:
            raise CallError(409, "Fencing-Number is older than one seen before")
        self._largest_fence = int(value)

    def _take_break(self) -> BreakPoint:
        if self._breaks_left == 0:
            return BreakPoint.NONE
        self._breaks_left -= 1
        return self._break_point

    async def _send_status(self, call: Call) -> None:
        number = int(call.tail) if call.tail.isdecimal() else 0
        if not 1 <= number <= len(self._orders):
            raise CallError(404, "no such order")
        order = self._orders[number - 1]
        await call.reply_json(
            200, {"order": number, "key": order.key, "status": "confirmed"}
        )

    async def _send_received(self, call: Call) -> None:
        await call.reply_json(200, {"keys": sorted(self._received)})

    async def _control_break(self, call: Call) -> None:
        try:
            self._break_point = BreakPoint(str(call.json().get("point")))
        except ValueError:
            points = ", ".join(BreakPoint)
            raise CallError(400, f"point is not one of {points}") from None
        self._breaks_left = call.json_int("times", 1)
        await call.reply(204, b"")

    async def _control_delay(self, call: Call) -> None:
        self._delay_ms = call.json_int("delay_ms", 0)
        await call.reply(204, b"")


async def _send_half(call: Call, body: bytes) -> None:
    length = str(len(body))
    await call.start(201, {"content-length": length})
    await call.write(body[: len(body) // 2])
    call.close_connection()


@click.command()
@serving.common_options
@click.option("--delay-ms", default=0, help="Time before an order runs.")
@click.option("--check-fencing", is_flag=True)
@click.option("--ran-file", default=None, help="Also append each key here.")
def main(
    port: int,
    name: str,
    zone: str,
    delay_ms: int,
    check_fencing: bool,
    ran_file: str | None,
) -> None:
    """Runs an application stand-in on loopback."""
    program = OrderProgram(OrderSettings(check_fencing, ran_file), delay_ms)
    about = {"name": name, "zone": zone}
    anyio.run(serving.serve, program.make_app(), port, about)


if __name__ == "__main__":
    main()
