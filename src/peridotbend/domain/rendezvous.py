"""Rendezvous hashing over names."""

from collections.abc import Callable, Iterable
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

    def weigh(item: T) -> tuple[int, str]:
        label = get_name(item)
        # The length prefix tells apart (key, name) pairs whose concatenations
        # are equal.
        prefix = len(key).to_bytes(4, "big") + key
        return xxhash.xxh3_64_intdigest(prefix + label.encode()), label

    return sorted(items, key=weigh, reverse=True)
