"""Run one entry of the platform and send requests of every kind."""

import signal
import sys
from collections import Counter

import defopt
import gevent

from bench.direct_site import Site, make_configuration, make_route

KINDS = (("lookups", "GET"), ("pushes", "POST"), ("verses", "POST"))
ROUNDS = 20
PUBLISH_WAIT_S = 1.0  # half the time limit for a published configuration to take effect
STOP_TIMEOUT_S = 10.0


def main() -> int:
    """Serve, drain an upstream, change the configuration, stop; print the outcomes."""
    site = Site()
    try:
        return _run(site)
    finally:
        site.close()


def _run(site: Site) -> int:
    site.publish(make_configuration(1))
    for name in ("b1", "b2"):
        site.add_runner(name, "board")
    for name in ("m1", "m2"):
        site.add_runner(name, "model", events=6)
    site.start()
    outcomes: Counter[str] = Counter()
    _send(site, outcomes, "calm")
    site.register_runner("b1", "board", state="draining")
    site.publish(
        make_configuration(2, make_route("lookups", "board", "idempotent", attempts=2))
    )
    gevent.sleep(PUBLISH_WAIT_S)
    _send(site, outcomes, "one route left", expected=(200, 404, 404))
    site.entry.signal(signal.SIGTERM)
    code = site.entry.wait_exit(STOP_TIMEOUT_S)
    for line, count in sorted(outcomes.items()):
        print(f"{line}: {count}")
    print(f"stopped with code {code}")
    return 1 if code or any("unexpected" in line for line in outcomes) else 0


def _send(
    site: Site,
    outcomes: Counter[str],
    phase: str,
    expected: tuple[int, ...] = (200, 200, 200),
) -> None:
    for number in range(ROUNDS):
        for (kind, method), status in zip(KINDS, expected, strict=True):
            reply = site.send(f"/{kind}/{number}", method=method)
            is_expected = reply.complete and reply.status == status
            suffix = "" if is_expected else ", unexpected"
            outcomes[f"{phase}, {kind}, {reply.status}{suffix}"] += 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
