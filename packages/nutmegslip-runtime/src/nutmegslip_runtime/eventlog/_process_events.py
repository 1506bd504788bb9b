"""Events of a process: start, configuration, lease, links and shutdown."""

from nutmegslip_runtime.eventlog._kinds import EventKind, Level

NO_REMEDY = "None needed."

PROCESS_EVENTS = (
    EventKind(
        1001,
        "process-started",
        Level.INFO,
        "The process accepts connections and reads the configuration service.",
        NO_REMEDY,
    ),
    EventKind(
        1002,
        "settings-refused",
        Level.ERROR,
        "The settings file has errors; the process did not start, or keeps its "
        "previous settings.",
        "Fix each listed key, and check the file with 'check-settings'.",
        ("file", "key", "found", "allowed"),
    ),
    EventKind(
        1003,
        "event-dropped",
        Level.ERROR,
        "The reducer failed on an event, which was dropped; the process continues.",
        "Report it as a bug, with this line and its traceback.",
        ("event_type",),
    ),
    EventKind(
        1101,
        "catalogue-in-force",
        Level.INFO,
        "This process now uses this version of the catalogue.",
        NO_REMEDY,
        ("version",),
    ),
    EventKind(
        1102,
        "catalogue-refused",
        Level.ERROR,
        "A version of the catalogue has errors and was rejected as a whole; the "
        "last valid version stays in force.",
        "Fix each entry that the errors list, and publish the catalogue again.",
        ("source", "errors"),
    ),
    EventKind(
        1103,
        "hosts-in-force",
        Level.INFO,
        "This process now uses this version of the list of hosts.",
        NO_REMEDY,
        ("version",),
    ),
    EventKind(
        1104,
        "marked-out",
        Level.WARNING,
        "The host or its availability zone is marked out; its upstream gets no new "
        "requests.",
        "Publish the mark 'in' when the host or zone can serve requests again.",
    ),
    EventKind(
        1105,
        "marked-in",
        Level.INFO,
        "The host and its availability zone are marked in; its upstream can get new "
        "requests again.",
        NO_REMEDY,
    ),
    EventKind(
        1201,
        "lease-held",
        Level.INFO,
        "The process holds the lease that allows it to accept new requests.",
        NO_REMEDY,
    ),
    EventKind(
        1202,
        "lease-lost",
        Level.WARNING,
        "The lease expired; the process accepts no new requests until its peers "
        "respond again.",
        "If this persists, check the network between this host and the entry hosts.",
    ),
    EventKind(
        1701,
        "link-up",
        Level.INFO,
        "A link to another process was opened.",
        NO_REMEDY,
        ("peer", "incarnation"),
    ),
    EventKind(
        1702,
        "link-down",
        Level.WARNING,
        "A link to another process was closed; the process reconnects.",
        "If it stays closed, check the other host and the network between them.",
        ("peer",),
    ),
    EventKind(
        1703,
        "peer-turned-away",
        Level.WARNING,
        "A peer failed the handshake, and no link was opened.",
        "Compare the key, protocol version and address of both processes.",
        ("reason",),
    ),
    EventKind(
        1801,
        "drain-started",
        Level.INFO,
        "The process was asked to stop; it stops accepting requests and finishes those "
        "in flight.",
        NO_REMEDY,
    ),
    EventKind(
        1802,
        "drained",
        Level.INFO,
        "No requests are in flight; the process exits.",
        NO_REMEDY,
    ),
    EventKind(
        1803,
        "drain-timed-out",
        Level.ERROR,
        "The drain timeout expired; the process exits with requests in flight.",
        "Raise 'stop.drain_timeout_ms', or 'bounds.stop_grace_s' if the entry sends "
        "directly, above the duration of the longest request.",
    ),
)
