"""Rendezvous hashing over names."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T")


def rank(key: bytes, items: Iterable[T], name: Callable[[T], str]) -> list[T]:
    """Returns the items by falling weight for the key.

    Every process that knows the same names gets the same order, and a name
    that comes or goes does not change the order of the others.
    """

    def weigh(item: T) -> tuple[int, str]:
        label = name(item)
        # The length keeps (key, name) pairs with equal joins apart.
        prefix = len(key).to_bytes(4, "big") + key
        return xxhash.xxh3_64_intdigest(prefix + label.encode()), label

    return sorted(items, key=weigh, reverse=True)
