"""Run the fake of a plain service."""

import defopt

from fakes._serving import serve
from fakes.ledger import make_app


def main(*, port: int, host: str = "127.0.0.1", delay_ms: int = 0) -> None:
    """Serve non-idempotent submissions, and lookups.

    :param port: TCP port to listen on
    :param host: IP address to listen on
    :param delay_ms: time from a run to its response
    """
    serve(make_app(delay_ms), host, port)


if __name__ == "__main__":
    defopt.run(main)
