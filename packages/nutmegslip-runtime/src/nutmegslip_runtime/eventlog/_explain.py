"""Explain events and kinds of errors to an operator."""

import difflib
from typing import NamedTuple

from expression import Error, Ok, Result

from nutmegslip_decisions import direct
from nutmegslip_decisions.work import FailureKind, RefusalKind, remedy_of, status_of
from nutmegslip_runtime.eventlog._catalogue import EVENTS, event_named, event_numbered
from nutmegslip_runtime.eventlog._kinds import EventKind

_PROBLEM_PREFIX = "urn:nutmegslip:problem:"
_CODE_PREFIX = "NS"


class UnknownTopic(NamedTuple):
    """A topic that matches no event and no kind of error."""

    topic: str
    similar: tuple[str, ...]

    @property
    def message(self) -> str:
        """Return the error and a hint in one line."""
        hint = ", ".join(self.similar) or "'NS1101' or 'overloaded', for example"
        return f"{self.topic}: unknown event or error; try {hint}"


def explain(topic: str) -> Result[str, UnknownTopic]:
    """Return the description and remedy of an event or a kind of error.

    Accepts ``NS1101``, ``1101``, the name of an event, the type of a problem
    document with or without its prefix, or the kind of a refusal.
    """
    name = topic.strip().removeprefix(_PROBLEM_PREFIX)
    candidates = (
        _explain_event(name),
        _explain_failure(name),
        _explain_refusal(name),
        _explain_direct_refusal(name),
    )
    explanations = [text for text in candidates if text]
    return (
        Ok("\n\n".join(explanations))
        if explanations
        else Error(_unknown_topic(topic, name))
    )


def _explain_event(name: str) -> str | None:
    number = name.upper().removeprefix(_CODE_PREFIX)
    numeric = number.isascii() and number.isdigit()
    kind = event_numbered(int(number)) if numeric else event_named(name.lower())
    return _describe_event(kind) if kind else None


def _describe_event(kind: EventKind) -> str:
    lines = [
        f"{kind.code} {kind.name} ({kind.level.name.lower()})",
        kind.message,
        f"Remedy: {kind.remedy}",
    ]
    fields = [f"Fields: {', '.join(kind.fields)}"] if kind.fields else []
    return "\n".join(lines + fields)


def _explain_failure(name: str) -> str | None:
    if name not in set(FailureKind):
        return None
    kind = FailureKind(name)
    return (
        f"{kind}: the request of a caller failed (HTTP {status_of(kind)})\n"
        f"Remedy for the caller: {remedy_of(kind)}"
    )


def _explain_refusal(name: str) -> str | None:
    if name not in set(RefusalKind):
        return None
    return (
        f"{name}: a sidecar refused an attempt and sent nothing to its upstream\n"
        "Remedy: None needed; the entry tries another upstream before the deadline."
    )


def _explain_direct_refusal(name: str) -> str | None:
    if name not in set(direct.RefusalKind):
        return None
    kind = direct.RefusalKind(name)
    return (
        f"{kind}: an entry that sends requests directly to upstreams refused a "
        f"request (HTTP {kind.status})\n"
        f"Remedy: {kind.remedy}"
    )


def _unknown_topic(topic: str, name: str) -> UnknownTopic:
    names = [kind.name for kind in EVENTS] + [str(kind) for kind in FailureKind]
    return UnknownTopic(topic, tuple(difflib.get_close_matches(name, names)))
