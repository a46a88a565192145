"""Heads of callers' messages, as far as httptools leaves them open."""

import dataclasses

_OFFER = b"upgrade"
_VERSIONS = frozenset(("1.0", "1.1"))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a message; names of headers are in lower case."""

    method: bytes
    target: bytes
    version: str
    headers: list[tuple[bytes, bytes]]

    def find_problem(self) -> str | None:
        """Returns why the message is refused, or None.

        That is the case if another reader of the same bytes, such as a target
        or a proxy in front of this process, may understand them differently.
        """
        if self.method == b"CONNECT":
            # What follows such a head belongs to a tunnel.
            return "This is no proxy; send a request instead of CONNECT."
        if self.version not in _VERSIONS:
            return "Only HTTP/1.1 and HTTP/1.0 are served; use one of them."
        if b"#" in self.target:
            return "The target has a fragment; send it without."
        codings = self._list_values(b"transfer-encoding")
        if codings not in ([], [b"chunked"]):
            return "Only the transfer coding chunked is known; use no other."
        if self.version == "1.0" and codings:
            return "HTTP/1.0 has no transfer codings; send a length."
        return self._find_host_problem()

    def encode_without_offer(self) -> bytes:
        """Returns the head without its offer to switch protocols."""
        version = self.version.encode()
        lines = [b"%s %s HTTP/%s" % (self.method, self.target, version)]
        lines += [b"%s: %s" % h for h in self.headers if h[0] != _OFFER]
        return b"\r\n".join((*lines, b"", b""))

    def _list_values(self, wanted: bytes) -> list[bytes]:
        return [v.lower() for name, v in self.headers if name == wanted]

    def _find_host_problem(self) -> str | None:
        hosts = self._list_values(b"host")
        if len(hosts) > 1:
            return "The header Host was sent more than once; send it once."
        if self.target.startswith((b"/", b"*")) or not hosts:
            return None
        _, _, rest = self.target.partition(b"://")
        authority = rest.partition(b"/")[0].partition(b"?")[0]
        if authority.lower() == hosts[0]:
            return None
        return "The target and Host name two hosts; name the same in both."
