"""Stand-in for an application: `python -m peridotbend_emulator.orders`."""

import dataclasses
import enum
import json

import anyio
import click

from peridotbend_emulator import serving
from peridotbend_emulator.runlog import RunLog, request_key
from peridotbend_emulator.serving import App, Call, CallError


class DisconnectPoint(enum.StrEnum):
    """When the connection of a call is closed to inject a fault."""

    NONE = "none"
    # The order does not run.
    BEFORE_RUN = "before-run"
    # The order runs; no byte of the response is sent.
    AFTER_RUN = "after-run"
    # The order runs; the head and half of the body are sent.
    MID_ANSWER = "mid-answer"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSettings:
    """Settings of the application."""

    # Whether fencing numbers below the largest one seen are rejected.
    checks_fencing: bool
    ran_file: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A completed order."""

    number: int
    key: str
    path: str


class OrderProgram:
    """Runs every order that it receives, without deduplication.

    A second run of a key must appear in the counts, so that a test can verify
    that callers and schedulers send each order once.
    """

    def __init__(self, settings: OrderSettings, delay_ms: int):
        self._settings = settings
        self._delay_ms = delay_ms
        self._run_log = RunLog(settings.ran_file)
        self._orders: list[Order] = []
        # Keys of all requests whose head arrived, even if the body did not.
        self._received_keys: set[str] = set()
        self._largest_fencing_number = -1
        self._disconnect_point = DisconnectPoint.NONE
        self._disconnects_left = 0

    def make_app(self) -> App:
        """Returns the application with all routes."""
        app = App()
        app.on_request_head = lambda call: self._received_keys.add(
            request_key(call)
        )
        app.route("GET", "/v1/received", self._send_received)
        app.route("GET", "/v1/ran", self._run_log.handle)
        app.route("GET", "/v1/orders/*", self._send_status)
        app.route("POST", "/control/break", self._control_break)
        app.route("POST", "/control/delay", self._control_delay)
        app.route("POST", "/*", self._run_order)
        return app

    async def _run_order(self, call: Call) -> None:
        disconnect_point = self._take_disconnect_point()
        await anyio.sleep(self._delay_ms / 1000)
        if disconnect_point is DisconnectPoint.BEFORE_RUN:
            call.abort_connection()
            return
        # No await between the check and the run, so that they are atomic.
        self._check_fencing_number(call)
        order = self._record_run(call)
        if disconnect_point is DisconnectPoint.AFTER_RUN:
            call.abort_connection()
            return
        body = json.dumps(
            {"order": order.number, "key": order.key, "status": "confirmed"}
        ).encode()
        if disconnect_point is DisconnectPoint.MID_ANSWER:
            await _send_partial_body(call, body)
            return
        headers = {"content-type": "application/json"}
        await call.reply(201, body, headers)

    def _record_run(self, call: Call) -> Order:
        key = request_key(call)
        order = Order(len(self._orders) + 1, key, call.path)
        self._orders.append(order)
        self._run_log.record(key)
        return order

    def _check_fencing_number(self, call: Call) -> None:
        value = call.headers.get("fencing-number")
        if value is None or not self._settings.checks_fencing:
            return
        if not value.isdecimal():
            raise CallError(400, "Fencing-Number is not an integer")
        if int(value) < self._largest_fencing_number:
            raise CallError(409, "Fencing-Number is lower than one seen before")
        self._largest_fencing_number = int(value)

    def _take_disconnect_point(self) -> DisconnectPoint:
        if self._disconnects_left == 0:
            return DisconnectPoint.NONE
        self._disconnects_left -= 1
        return self._disconnect_point

    async def _send_status(self, call: Call) -> None:
        number = int(call.path_tail) if call.path_tail.isdecimal() else 0
        if not 1 <= number <= len(self._orders):
            raise CallError(404, "no such order")
        order = self._orders[number - 1]
        await call.reply_json(
            200, {"order": number, "key": order.key, "status": "confirmed"}
        )

    async def _send_received(self, call: Call) -> None:
        await call.reply_json(200, {"keys": sorted(self._received_keys)})

    async def _control_break(self, call: Call) -> None:
        try:
            self._disconnect_point = DisconnectPoint(
                str(call.json().get("point"))
            )
        except ValueError:
            points = ", ".join(DisconnectPoint)
            raise CallError(400, f"point is not one of {points}") from None
        self._disconnects_left = call.json_int("times", 1)
        await call.reply(204, b"")

    async def _control_delay(self, call: Call) -> None:
        self._delay_ms = call.json_int("delay_ms", 0)
        await call.reply(204, b"")


async def _send_partial_body(call: Call, body: bytes) -> None:
    length = str(len(body))
    await call.start_response(201, {"content-length": length})
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
    ready_info = {"name": name, "zone": zone}
    anyio.run(serving.serve, program.make_app(), port, ready_info)


if __name__ == "__main__":
    main()
