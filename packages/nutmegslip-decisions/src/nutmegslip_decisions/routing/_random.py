"""Draw pseudo-random numbers from a seed and a counter."""

import xxhash


def draw_below(seed: int, counter: int, bound: int) -> int:
    """Return the pseudo-random number for a counter, in the range [0, bound)."""
    data = counter.to_bytes(8, "big")
    return xxhash.xxh3_64_intdigest(data, seed) % bound
