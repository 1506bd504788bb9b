"""Rank hosts for a key by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, host: str) -> int:
    """Return the score of a host for a key; it depends on no other host."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{host}".encode())


def rendezvous_order(key: str, hosts: Iterable[str]) -> tuple[str, ...]:
    """Return host names by descending score for a key; ties are broken by name."""
    return tuple(sorted(hosts, key=lambda host: (-rendezvous_score(key, host), host)))
