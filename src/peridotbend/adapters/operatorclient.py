"""Client of the command line for a daemon's operator address."""

import dataclasses
import json
import urllib.parse

import httpcore
from result import Err, Ok, Result

TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The daemon could not be reached or gave no usable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The daemon answered with an error."""

    status: int
    message: str


def check_url(url: str) -> str | None:
    """Returns what is wrong with an operator URL, or None if it is valid."""
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
    """Calls the operator application of a daemon.

    Args:
        url: a base URL that `check_url` accepts.
        method: the HTTP method.
        path: the path to call.
        **query: query parameters.

    Returns:
        The JSON object of the answer, or why there is none.
    """
    full_url = url.rstrip("/") + path
    if query:
        full_url += "?" + urllib.parse.urlencode(query)
    timeout_kinds = ("connect", "read", "write", "pool")
    try:
        response = httpcore.request(
            method,
            full_url,
            headers={"Accept": "application/json"},
            extensions={"timeout": dict.fromkeys(timeout_kinds, TIMEOUT_S)},
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
