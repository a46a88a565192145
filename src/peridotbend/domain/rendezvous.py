"""Rendezvous hashing over names."""

import math
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import xxhash

T = TypeVar("T")
# 2 to the number of bits in a weight.
_WEIGHT_RANGE = 2.0**64
# In standard deviations. An estimate of a place is hardly ever off by more.
_MAX_PLACE_ERROR = 6.0


def rank(
    key: bytes, items: Iterable[T], get_name: Callable[[T], str]
) -> list[T]:
    """Returns the items in descending order of their weights for the key.

    Every process that knows the same names computes the same order. Adding or
    removing a name does not change the order of the others.
    """
    weigh = _make_weigher(key)
    return sorted(items, key=lambda item: weigh(get_name(item)), reverse=True)


def choose(key: bytes, names: Iterable[str]) -> str:
    """Returns the name with the highest weight, the first one of `rank`."""
    return max(names, key=_make_weigher(key))


def find_place(
    key: bytes, name: bytes, others: Sequence[bytes], last: int
) -> int:
    """Returns how many of the others precede a name in the order for a key.

    Where the weight of the name alone shows that it is far behind the place
    `last`, the result is their number.
    """
    prefix = _make_prefix(key)
    weigh = xxhash.xxh3_64_intdigest
    own = weigh(prefix + name)
    expected = (1 - own / _WEIGHT_RANGE) * len(others)
    if expected - _MAX_PLACE_ERROR * math.sqrt(max(1.0, expected)) > last:
        return len(others)
    return sum(weigh(prefix + other) > own for other in others)


def _make_weigher(key: bytes) -> Callable[[str], tuple[int, str]]:
    """Returns what gives each name its weight for a key; names break ties."""
    prefix = _make_prefix(key)

    def weigh(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(prefix + name.encode()), name

    return weigh


def _make_prefix(key: bytes) -> bytes:
    # The length tells apart (key, name) pairs whose concatenations are equal.
    return len(key).to_bytes(4, "big") + key


def choose_weighted(key: str, entries: Sequence[tuple[str, float]]) -> str:
    """Returns one of several names, each with its part of all keys.

    A change of the weights moves as few keys as possible to another name.

    Args:
        key: for which to choose.
        entries: names and weights, of which one at least is above 0.
    """
    if len(entries) == 1:
        return entries[0][0]

    def weigh(entry: tuple[str, float]) -> tuple[float, str]:
        name, weight = entry
        # The length tells apart names and keys whose concatenations are equal.
        label = f"{len(name)}:{name}{key}".encode()
        # Between 0 and 1, without either.
        share = ((xxhash.xxh3_64_intdigest(label) >> 12) + 0.5) / 2**52
        return -weight / math.log(share), name

    return max(entries, key=weigh)[0]
