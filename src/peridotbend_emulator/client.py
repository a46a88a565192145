"""A blocking HTTP client for experiments and tests."""

import dataclasses
import http.client
import json
from collections.abc import Mapping
from typing import Any

TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """An HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """The verdict from the header or the last server-sent event, or ""."""
        if "peridotbend-verdict" in self.headers:
            return self.headers["peridotbend-verdict"]
        _, found, tail = self.body.rpartition(b"event: peridotbend-verdict\n")
        if not found:
            return ""
        verdict: str = json.loads(tail.removeprefix(b"data: "))["verdict"]
        return verdict

    @property
    def code(self) -> str:
        """The error code in the JSON body, or ""."""
        try:
            code: str = json.loads(self.body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""
        return code

    @property
    def request_id(self) -> str:
        """The request ID from the response header, or ""."""
        return self.headers.get("peridotbend-request", "")

    def json(self) -> Any:
        """Returns the body parsed as JSON."""
        return json.loads(self.body)


def call_http(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> HttpReply:
    """Sends one request on a new connection.

    Raises:
        OSError: the connection failed, or was lost before the response head.
        http.client.HTTPException: the response is incomplete or invalid.
    """
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body or None, dict(headers or {}))
        response = connection.getresponse()
        lowercase_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return HttpReply(response.status, lowercase_headers, response.read())
    finally:
        connection.close()


def make_chat(
    model: str, prompt: str, max_tokens: int, stream: bool = True
) -> bytes:
    """Returns the JSON body of a chat completion request."""
    return json.dumps(
        {
            "model": model,
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
    ).encode()
