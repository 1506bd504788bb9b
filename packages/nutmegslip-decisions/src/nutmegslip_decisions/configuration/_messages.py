"""Define the messages that distribute configuration and renew leases."""

from dataclasses import dataclass

from nutmegslip_decisions.configuration._changes import Change, Delta


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A request for a peer's new changes and its remaining lease time.

    ``catalogue_kept`` and ``hosts_kept`` are digests of the earlier changes that
    stay in force for keys whose latest change was refused.
    """

    nonce: int
    catalogue_after: int
    hosts_after: int
    catalogue_kept: int = 0
    hosts_kept: int = 0


@dataclass(frozen=True, slots=True)
class PollReply:
    """The reply to a poll.

    ``remaining_lease_ms`` is the remaining time of the sender's lease. ``grants``
    is set if the sender is a witness whose reply counts towards a lease,
    ``synced`` if it knows what the witnesses accepted before it started.
    ``witness_digest`` identifies the witness set in use at the sender. The ages
    are the times since the service's last answer to any process, as far as the
    sender knows.
    """

    nonce: int
    region: str
    catalogue: Delta
    hosts: Delta
    remaining_lease_ms: int
    witness_digest: int
    synced: bool
    grants: bool
    catalogue_age_ms: int
    hosts_age_ms: int


@dataclass(frozen=True, slots=True)
class News:
    """Changes pushed to a subscribed peer; they do not renew a lease."""

    catalogue: Delta
    hosts: Delta


Message = PollRequest | PollReply | News

MESSAGES = (Change, Delta, PollRequest, PollReply, News)
