"""Place hosts on a hash ring, which every entry builds alike without messages."""

import bisect
import itertools
from collections.abc import Iterator

import xxhash

from nutmegslip_decisions.routing._state import Ring

POINTS_PER_HOST = 16


def build_ring(hosts: tuple[str, ...]) -> Ring:
    """Return the hash ring of the hosts; their order does not matter."""
    pairs = sorted(
        (xxhash.xxh3_64_intdigest(f"{host}\x00{index}".encode()), host)
        for host in hosts
        for index in range(POINTS_PER_HOST)
    )
    return Ring(
        points=tuple(point for point, _ in pairs),
        hosts=tuple(host for _, host in pairs),
    )


def hosts_from(ring: Ring, key: bytes, max_hosts: int) -> Iterator[str]:
    """Yield the first distinct hosts that follow a key on the ring."""
    if not ring.points:
        return
    start = bisect.bisect(ring.points, xxhash.xxh3_64_intdigest(key))
    size = len(ring.points)
    seen: set[str] = set()
    for offset in itertools.islice(itertools.count(start), size):
        host = ring.hosts[offset % size]
        if host in seen:
            continue
        seen.add(host)
        yield host
        if len(seen) == max_hosts:
            return
