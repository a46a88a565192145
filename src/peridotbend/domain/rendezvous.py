"""Rendezvous hashing over names."""

import math
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import xxhash

T = TypeVar("T")


def rank(
    key: bytes, items: Iterable[T], get_name: Callable[[T], str]
) -> list[T]:
    """Returns the items in descending order of their weights for the key.

    Every process that knows the same names computes the same order. Adding or
    removing a name does not change the order of the others.
    """

    def weigh_item(item: T) -> tuple[int, str]:
        label = get_name(item)
        return weigh(key, label), label

    return sorted(items, key=weigh_item, reverse=True)


def weigh(key: bytes, name: str) -> int:
    """Returns the weight of a name for a key, a number of 64 bits."""
    # The length prefix tells apart (key, name) pairs whose concatenations are
    # equal.
    prefix = len(key).to_bytes(4, "big") + key
    return xxhash.xxh3_64_intdigest(prefix + name.encode())


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
