"""Build the codec of every message that processes send each other."""

from nutmegslip_decisions import configuration, experts, limits, once, work
from nutmegslip_messages import HANDSHAKE_MESSAGES, Codec


def make_codec() -> Codec:
    """Return the codec of all messages."""
    return Codec(
        (
            *HANDSHAKE_MESSAGES,
            *configuration.MESSAGES,
            *experts.MESSAGES,
            *limits.MESSAGES,
            *once.MESSAGES,
            *work.MESSAGES,
        )
    )
