"""Poll peers, answer their polls and push changes to them."""

from nutmegslip_decisions.configuration._changes import Delta
from nutmegslip_decisions.configuration._events import Send
from nutmegslip_decisions.configuration._messages import (
    Message,
    News,
    PollReply,
    PollRequest,
)
from nutmegslip_decisions.configuration._reading import record_service_age
from nutmegslip_decisions.configuration._source_state import (
    Source,
    apply_delta,
    delta_since,
)
from nutmegslip_decisions.configuration._state import (
    LONG_AGO_MS,
    Peer,
    PeerReply,
    Poll,
    Subscriber,
    SyncState,
)
from nutmegslip_decisions.model import Millis

UNANSWERED_POLLS_MAX = 4  # replies to older polls are too old to renew a lease
SERVICE_AGE_MAX_MS = 86_400_000
NONCE_MODULUS = 2**63

Sends = tuple[Send, ...]


def handle_message(
    state: SyncState, now_ms: Millis, host: str, message: Message
) -> tuple[SyncState, Sends]:
    """Handle a message from a peer."""
    match message:
        case PollRequest():
            return _answer_poll(state, now_ms, host, message)
        case PollReply():
            state = _handle_reply(state, now_ms, host, message)
            return state, _push_kept(state, host, message)
        case News(catalogue, hosts):
            return _apply_deltas(state, now_ms, host, catalogue, hosts), ()


def due_polls(state: SyncState, now_ms: Millis) -> tuple[SyncState, Sends]:
    """Poll every peer whose poll is due."""
    targets = _targets(state, now_ms)
    due = [host for host in targets if _peer(state, host).due_ms <= now_ms]
    if not due:
        return state, ()
    peers = {host: _peer(state, host) for host in targets}
    sends = []
    for number, host in enumerate(due, state.polls_sent + 1):
        nonce = (state.options.incarnation_seed + number) % NONCE_MODULUS
        polls = (*peers[host].polls, Poll(nonce, now_ms))[-UNANSWERED_POLLS_MAX:]
        peers[host] = Peer(now_ms + state.options.poll_ms, polls)
        sends.append(Send(host, _request(state, nonce)))
    polled = state.peers.update(peers)
    for host in set(polled) - set(targets):
        polled = polled.delete(host)
    return state._replace(peers=polled, polls_sent=state.polls_sent + len(due)), tuple(
        sends
    )


def push_news(state: SyncState, now_ms: Millis) -> tuple[SyncState, Sends]:
    """Push new changes to the subscribed peers that do not have them."""
    versions = (state.catalogue.version, state.hosts.version)
    behind = [
        (host, subscriber)
        for host, subscriber in state.subscribers.items()
        if subscriber.until_ms > now_ms and _is_behind(subscriber, versions)
    ]
    sends = tuple(
        Send(host, _news(state, subscriber.catalogue, subscriber.hosts))
        for host, subscriber in sorted(behind)
    )
    notified = {
        host: Subscriber(*versions, subscriber.until_ms) for host, subscriber in behind
    }
    return state._replace(subscribers=state.subscribers.update(notified)), sends


def unsubscribe(state: SyncState, host: str) -> SyncState:
    """Remove the subscription of a peer whose link has closed."""
    if host not in state.subscribers:
        return state
    return state._replace(subscribers=state.subscribers.delete(host))


def make_poll_due(state: SyncState, host: str) -> SyncState:
    """Make the next poll of a peer due now, if this process polls it."""
    if host not in state.peers:
        return state
    peer = state.peers[host]._replace(due_ms=LONG_AGO_MS)
    return state._replace(peers=state.peers.set(host, peer))


def _targets(state: SyncState, now_ms: Millis) -> tuple[str, ...]:
    """Return the hosts to poll.

    The fallback targets are included while the lease is close to its end.
    """
    options = state.options
    if not state.roster.hosts:
        return tuple(host for host in options.seeds if host != options.host)
    targets = state.placement.poll_targets
    if state.lease_until_ms < now_ms + options.lease_ms // 4:
        targets += state.placement.fallback_targets
    if state.is_witness:
        targets += tuple(
            host for old in state.previous_sets for host in old.members.members
        )
    return tuple(host for host in dict.fromkeys(targets) if host != options.host)


def _peer(state: SyncState, host: str) -> Peer:
    return state.peers.get(host, Peer())


def _request(state: SyncState, nonce: int) -> PollRequest:
    return PollRequest(
        nonce,
        state.catalogue.after,
        state.hosts.after,
        state.catalogue.kept,
        state.hosts.kept,
    )


def _answer_poll(
    state: SyncState, now_ms: Millis, host: str, request: PollRequest
) -> tuple[SyncState, Sends]:
    page_bytes = state.options.page_max_bytes
    reply = PollReply(
        request.nonce,
        state.options.region,
        delta_since(
            state.catalogue,
            max(request.catalogue_after, 0),
            page_bytes,
            request.catalogue_kept,
        ),
        delta_since(
            state.hosts, max(request.hosts_after, 0), page_bytes, request.hosts_kept
        ),
        min(max(state.lease_until_ms - now_ms, 0), state.options.lease_ms),
        state.placement.witnesses.digest,
        state.synced,
        state.grants,
        _age_ms(state, now_ms, Source.CATALOGUE),
        _age_ms(state, now_ms, Source.HOSTS),
    )
    state = _subscribe(state, now_ms, host, (reply.catalogue, reply.hosts))
    return state, (Send(host, reply),)


def _subscribe(
    state: SyncState, now_ms: Millis, host: str, sent: tuple[Delta, Delta]
) -> SyncState:
    subscribers = state.subscribers
    if len(subscribers) >= state.options.subscribers_max and host not in subscribers:
        expired = [name for name, s in subscribers.items() if s.until_ms <= now_ms]
        if not expired:
            return state
        subscribers = subscribers.delete(min(expired))
    until_ms = now_ms + state.options.subscription_ms
    subscriber = Subscriber(*(delta.version for delta in sent), until_ms)
    return state._replace(subscribers=subscribers.set(host, subscriber))


def _handle_reply(
    state: SyncState, now_ms: Millis, host: str, reply: PollReply
) -> SyncState:
    peer = _peer(state, host)
    poll = next((poll for poll in peer.polls if poll.nonce == reply.nonce), None)
    state = _apply_deltas(state, now_ms, host, reply.catalogue, reply.hosts)
    if poll is None:
        return state
    peer = _peer(state, host)
    unanswered = tuple(other for other in peer.polls if other.sent_ms > poll.sent_ms)
    state = state._replace(peers=state.peers.set(host, peer._replace(polls=unanswered)))
    state = record_service_age(
        state, Source.CATALOGUE, poll.sent_ms, reply.catalogue_age_ms
    )
    state = record_service_age(state, Source.HOSTS, poll.sent_ms, reply.hosts_age_ms)
    if reply.region != state.options.region:
        return state
    peer_reply = _peer_reply(state, poll.sent_ms, reply)
    return state._replace(pending_replies=state.pending_replies.set(host, peer_reply))


def _peer_reply(state: SyncState, sent_ms: Millis, reply: PollReply) -> PeerReply:
    remaining_ms = min(max(reply.remaining_lease_ms, 0), state.options.lease_ms)
    return PeerReply(
        sent_ms,
        reply.catalogue.version,
        reply.hosts.version,
        # Measured from the send time of the poll, so clocks are not compared.
        sent_ms + remaining_ms if remaining_ms else LONG_AGO_MS,
        reply.witness_digest,
        reply.synced,
        reply.grants,
    )


def _push_kept(state: SyncState, host: str, reply: PollReply) -> Sends:
    """Push the kept changes to a peer at the same version whose kept ones differ.

    Kept changes are those in force for keys whose latest change was refused.
    """
    pairs = ((reply.catalogue, state.catalogue), (reply.hosts, state.hosts))
    differs = any(
        delta.version == source_state.version and delta.kept != source_state.kept
        for delta, source_state in pairs
    )
    if not differs:
        return ()
    return (Send(host, _news(state, reply.catalogue.version, reply.hosts.version)),)


def _news(state: SyncState, catalogue_after: int, hosts_after: int) -> News:
    page_bytes = state.options.page_max_bytes
    return News(
        delta_since(state.catalogue, catalogue_after, page_bytes),
        delta_since(state.hosts, hosts_after, page_bytes),
    )


def _apply_deltas(
    state: SyncState, now_ms: Millis, host: str, catalogue: Delta, hosts: Delta
) -> SyncState:
    before = (state.catalogue.after, state.hosts.after)
    state = state._replace(
        catalogue=apply_delta(state.catalogue, catalogue),
        hosts=apply_delta(state.hosts, hosts),
    )
    state = _record_peer_versions(state, host, catalogue.version, hosts.version)
    missing = (
        catalogue.version > state.catalogue.version
        or hosts.version > state.hosts.version
    )
    progress = before != (state.catalogue.after, state.hosts.after)
    peer = _peer(state, host)
    # Request the next page with one poll at a time, to avoid a loop on a lost page.
    gap = missing and not peer.polls
    return make_poll_due(state, host) if missing and (progress or gap) else state


def _record_peer_versions(
    state: SyncState, host: str, catalogue: int, hosts: int
) -> SyncState:
    known = state.subscribers.get(host)
    if known is None:
        return state
    subscriber = Subscriber(
        max(known.catalogue, catalogue), max(known.hosts, hosts), known.until_ms
    )
    return state._replace(subscribers=state.subscribers.set(host, subscriber))


def _is_behind(subscriber: Subscriber, versions: tuple[int, int]) -> bool:
    return subscriber.catalogue < versions[0] or subscriber.hosts < versions[1]


def _age_ms(state: SyncState, now_ms: Millis, source: Source) -> int:
    return min(
        max(now_ms - state.readers[source].last_answer_ms, 0), SERVICE_AGE_MAX_MS
    )
