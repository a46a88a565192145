"""Calls from the command line to a daemon's operator address."""

import dataclasses
import json
import urllib.parse

import httpcore
from result import Err, Ok, Result

TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The daemon gave no usable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The daemon answered with an error."""

    status: int
    message: str


def check_url(url: str) -> str | None:
    """Returns what is wrong with an operator URL, or None."""
    try:
        parts = urllib.parse.urlsplit(url)
        usable = parts.scheme == "http" and bool(parts.hostname)
        usable = usable and parts.port != 0
    except ValueError:
        usable = False
    if not usable:
        return f"{url!r} is not a URL of the form http://HOST:PORT"
    if parts.path.strip("/") or parts.query or parts.fragment:
        return f"{url!r} has more than host and port"
    return None


def call_operator(
    url: str, method: str, path: str, **query: str
) -> Result[dict[str, object], Unreachable | Refused]:
    """Calls the operator app of a daemon.

    Args:
        url: base URL that `check_url` accepts.
        method: HTTP method.
        path: path of the app.
        **query: query parameters.

    Returns:
        The JSON object of the answer.
    """
    whole = url.rstrip("/") + path
    if query:
        whole += "?" + urllib.parse.urlencode(query)
    steps = ("connect", "read", "write", "pool")
    try:
        response = httpcore.request(
            method,
            whole,
            headers={"Accept": "application/json"},
            extensions={"timeout": dict.fromkeys(steps, TIMEOUT_S)},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        OSError,
    ) as error:
        return Err(Unreachable(str(error) or type(error).__name__))
    return _read_response(response)


def _read_response(
    response: httpcore.Response,
) -> Result[dict[str, object], Unreachable | Refused]:
    try:
        value = json.loads(response.content)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        return Err(
            Unreachable(
                f"status {response.status} without JSON; is this the operator "
                "address of a daemon?"
            )
        )
    if response.status < 400:
        return Ok(value)
    error = value.get("error")
    message = error.get("message") if isinstance(error, dict) else None
    return Err(Refused(response.status, str(message or "no reason given")))
