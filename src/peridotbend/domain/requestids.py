"""Request IDs, which identify the only process that may dispatch a request."""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import secrets
import struct

RANDOM_BYTES = 16
MAC_BYTES = 16
MAX_NAME_BYTES = 64
# Characters of an ID that may appear in logs.
LOG_KEY_LENGTH = 8
# Below the start of the process in ms.
INCARNATION_RANDOM_BITS = 20
MAX_INCARNATION = 2**63 - 1
# Incarnation and expiry time.
_NUMBERS = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """A parsed request ID.

    Its encoded form, the token, gives access to the answer and is a secret of
    the caller.
    """

    token: str = dataclasses.field(repr=False)
    minter: str
    incarnation: int
    # On the minter's monotonic clock; meaningless to other processes.
    expires_at_ms: int

    @property
    def log_key(self) -> str:
        """A prefix for logs, which does not give access to the answer."""
        return self.token[:LOG_KEY_LENGTH]


class IdMinter:
    """Mints and verifies the IDs of one process."""

    def __init__(self, name: str, incarnation: int):
        assert (
            0 < len(name.encode()) <= MAX_NAME_BYTES
        ), "instance name is empty or too long"
        self.name = name
        self.incarnation = incarnation
        self._mac_key = secrets.token_bytes(32)

    def mint(self, expires_at_ms: int) -> RequestId:
        """Returns a new ID that expires at the given time."""
        random_part = secrets.token_bytes(RANDOM_BYTES)
        numbers = _NUMBERS.pack(self.incarnation, expires_at_ms)
        payload = random_part + numbers + self.name.encode()
        token = (
            _encode(random_part)
            + "."
            + _encode(self._sign(payload) + payload[16:])
        )
        return RequestId(token, self.name, self.incarnation, expires_at_ms)

    def is_own(self, request_id: RequestId) -> bool:
        """Tells whether the ID names this incarnation as its minter."""
        return (
            request_id.minter == self.name
            and request_id.incarnation == self.incarnation
        )

    def verify(self, request_id: RequestId) -> bool:
        """Tells whether this incarnation minted the ID, by its MAC."""
        random_part, rest = _decode_token(request_id.token)
        mac, message_tail = rest[:MAC_BYTES], rest[MAC_BYTES:]
        return hmac.compare_digest(mac, self._sign(random_part + message_tail))

    def _sign(self, message: bytes) -> bytes:
        return hashlib.blake2b(
            message, key=self._mac_key, digest_size=MAC_BYTES
        ).digest()


def make_incarnation(wall_ms: int) -> int:
    """Returns a number that identifies one run of a process.

    Of two processes with one name, the later one has the greater number, as
    long as the time of day is not set back in between.

    Args:
        wall_ms: Unix time of the start.
    """
    start = wall_ms << INCARNATION_RANDOM_BITS
    random_part = secrets.randbits(INCARNATION_RANDOM_BITS) | 1
    return (start | random_part) & MAX_INCARNATION


def parse_request_id(token: str) -> RequestId | None:
    """Parses an ID minted by any process; returns None if it is malformed.

    The result is not authenticated: only the minter can verify the MAC.
    """
    try:
        random_part, rest = _decode_token(token)
        incarnation, expires_at_ms = _NUMBERS.unpack_from(rest, MAC_BYTES)
        name = rest[MAC_BYTES + _NUMBERS.size :].decode()
    except (ValueError, struct.error, binascii.Error):
        return None
    if len(random_part) != RANDOM_BYTES or not 0 < len(name) <= MAX_NAME_BYTES:
        return None
    if not name.isprintable():
        return None
    return RequestId(token, name, incarnation, expires_at_ms)


def _decode_token(token: str) -> tuple[bytes, bytes]:
    random_part, rest = token.split(".")
    return _decode(random_part), _decode(rest)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    data = base64.b64decode(
        text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
    )
    # Two encodings of the same ID would lead to two records of a request.
    if _encode(data) != text:
        raise ValueError("request ID is not in canonical base64")
    return data
