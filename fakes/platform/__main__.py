"""Run the fake of the platform."""

import defopt

from fakes._serving import serve
from fakes.platform import make_app


def main(*, port: int, host: str = "127.0.0.1", hosts_lag_ms: int = 0) -> None:
    """Serve a configuration service and a delayed list of hosts.

    :param port: TCP port to listen on
    :param host: IP address to listen on
    :param hosts_lag_ms: delay from an edit of the list of hosts to its publication
    """
    serve(make_app(hosts_lag_ms), host, port)


if __name__ == "__main__":
    defopt.run(main)
