"""Typed access to the fields of decoded JSON and YAML documents."""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

T = TypeVar("T")
# Largest number of a document. Sums and products of a few such numbers are
# exact, or at least finite.
MAX_NUMBER = 10**15


class BadFieldError(Exception):
    """A field is missing or invalid; the message names the field."""


class Fields:
    """The fields of one mapping; unknown fields are ignored."""

    def __init__(self, value: object, path: str = ""):
        if not isinstance(value, Mapping):
            raise BadFieldError(f"{path or 'document'}: must be a mapping")
        self._mapping: Mapping[Any, Any] = value
        self._path = path

    def get_str(self, name: str, default: str | None = None) -> str:
        """Returns a string, which may be empty only if `default` is."""
        value = self._get(name, default)
        if not isinstance(value, str) or not (value or default == ""):
            raise self._make_error(name, "a non-empty string", value)
        if not is_encodable(value):
            raise self._make_error(name, "a text", ascii(value))
        return value

    def get_int(
        self,
        name: str,
        default: int | None = None,
        minimum: int = 0,
        maximum: int = MAX_NUMBER,
    ) -> int:
        """Returns an integer from `minimum` to `maximum`."""
        number = self._get_number(name, default, minimum, maximum)
        if number != int(number):
            raise self._make_error(name, "an integer", number)
        return int(number)

    def get_number(
        self,
        name: str,
        default: float | None = None,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
    ) -> float:
        """Returns a number from `minimum` to `maximum`."""
        return float(self._get_number(name, default, minimum, maximum))

    def get_bool(self, name: str, default: bool | None = None) -> bool:
        """Returns a boolean."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise self._make_error(name, "true or false", value)
        return value

    def get_address(self, name: str) -> tuple[str, int]:
        """Returns the host and port of an address."""
        return read_address(self.get_str(name), self._path_of(name))

    def get_mapping(self, name: str) -> "Fields":
        """Returns the fields of a nested mapping."""
        return Fields(self._get(name, None), self._path_of(name))

    def get_list(
        self, name: str, read: Callable[[object, str], T], optional: bool = True
    ) -> list[T]:
        """Returns a list, with each entry decoded by `read`."""
        value = self._get(name, [] if optional else None)
        if value is None and optional:
            return []
        if not isinstance(value, list):
            raise self._make_error(name, "a list", value)
        return [
            read(entry, f"{self._path_of(name)}[{index}]")
            for index, entry in enumerate(value)
        ]

    def __contains__(self, name: str) -> bool:
        return self._mapping.get(name) is not None

    def _get(self, name: str, default: object) -> Any:
        value = self._mapping.get(name)
        if value is None:
            value = default
        if value is None:
            raise BadFieldError(f"{self._path_of(name)}: missing")
        return value

    def _get_number(
        self, name: str, default: float | None, minimum: float, maximum: float
    ) -> int | float:
        value = self._get(name, default)
        is_number = isinstance(value, int | float)
        # NaN is not at least anything.
        if not is_number or isinstance(value, bool) or not value >= minimum:
            raise self._make_error(
                name, f"a number of at least {minimum}", value
            )
        if value > maximum:
            raise self._make_error(name, f"at most {maximum}", value)
        number: int | float = value
        return number

    def _path_of(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def _make_error(
        self, name: str, wanted: str, value: object
    ) -> BadFieldError:
        return BadFieldError(
            f"{self._path_of(name)}: must be {wanted}, not {_describe(value)}"
        )


def _describe(value: object) -> str:
    """Returns a short text on a value of a document.

    Aliases make a container of YAML exponentially larger than its file, and an
    integer may have more digits than Python converts.
    """
    if isinstance(value, str | float | bool) or value is None:
        return repr(str(value)[:80])
    if isinstance(value, int):
        return repr(str(value)) if abs(value) <= MAX_NUMBER else "a larger one"
    return f"a value of type {type(value).__name__}"


def is_encodable(text: str) -> bool:
    """Tells whether a text can be sent; JSON may hold half a character."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_str(value: object, path: str) -> str:
    """Decodes a list entry that must be a non-empty string."""
    if not isinstance(value, str) or not value:
        raise BadFieldError(f"{path}: must be a non-empty string")
    return value


def read_address(value: str, path: str) -> tuple[str, int]:
    """Splits an address of the form IP:PORT."""
    host, colon, port = value.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not (host and colon and is_number and 0 < int(port) < 65_536):
        raise BadFieldError(f"{path}: must be IP:PORT, not {value[:80]!r}")
    return host, int(port)
