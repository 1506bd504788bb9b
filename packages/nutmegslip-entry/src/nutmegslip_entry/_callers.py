"""Serve callers over HTTP and stream answers as server-sent events."""

import uuid
from collections.abc import Callable, Iterator

import falcon
from gevent.queue import Queue

from nutmegslip_decisions.entry import (
    CallerArrived,
    CallerGone,
    Complete,
    Deliver,
    EntryEvent,
    Fail,
)
from nutmegslip_entry._metrics import CallerMetrics
from nutmegslip_entry._problems import (
    PROBLEM_CONTENT_TYPE,
    problem_body,
    problem_of,
    retry_after_s,
)
from nutmegslip_entry._requests import (
    chat_request,
    read_incoming_request,
    service_request,
)
from nutmegslip_runtime.process import monotonic_ms

END_OF_STREAM = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"

Reply = Deliver | Complete | Fail


class Callers:
    """The requests whose callers wait for a reply."""

    def __init__(
        self, dispatch: Callable[[EntryEvent], None], metrics: CallerMetrics
    ) -> None:
        self._dispatch = dispatch
        self._metrics = metrics
        self._reply_queues: dict[str, Queue] = {}

    def reply(self, effect: Reply) -> None:
        """Queue a reply for its caller and count the outcome."""
        queue = self._reply_queues.get(effect.request_id)
        if queue is not None:
            queue.put(effect)
        match effect:
            case Complete():
                self._metrics.count_outcome("answered")
            case Fail():
                self._metrics.count_outcome(str(effect.kind))

    def open_request(self, arrived: CallerArrived) -> Queue:
        """Start a request and return the queue of its replies."""
        queue: Queue = Queue()
        self._reply_queues[arrived.request_id] = queue
        self._dispatch(arrived)
        return queue

    def wait_for_first_reply(self, queue: Queue, arrived: CallerArrived) -> Reply:
        """Wait for the first reply to a request and return it."""
        first = queue.get()
        waited_ms = monotonic_ms() - arrived.now_ms
        self._metrics.observe_first_reply(waited_ms / 1_000)
        return first

    def close_request(self, request_id: str) -> None:
        """Remove a request after its final reply."""
        self._reply_queues.pop(request_id, None)

    def handle_disconnect(self, request_id: str) -> None:
        """Remove and cancel a request whose caller has disconnected."""
        self._metrics.count_outcome("caller-gone")
        self.close_request(request_id)
        self._dispatch(CallerGone(monotonic_ms(), request_id))


def make_callers_application(callers: Callers, max_body_bytes: int) -> falcon.App:
    """Return the HTTP application for callers."""
    application = falcon.App()
    application.add_route(
        "/v1/chat/completions", _ChatResource(callers, max_body_bytes)
    )
    services = _ServiceResource(callers, max_body_bytes)
    application.add_route("/services/{workload}/{rest:path}", services)
    return application


class _ChatResource:
    """Answer chat completions."""

    def __init__(self, callers: Callers, max_body_bytes: int) -> None:
        self._callers = callers
        self._max_body_bytes = max_body_bytes

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        request_id = uuid.uuid4().hex
        arrived = read_incoming_request(request, request_id, self._max_body_bytes).bind(
            chat_request
        )
        _respond(self._callers, arrived, response)


class _ServiceResource:
    """Answer calls to plain services, by workload."""

    def __init__(self, callers: Callers, max_body_bytes: int) -> None:
        self._callers = callers
        self._max_body_bytes = max_body_bytes

    def on_get(self, request, response, workload: str, rest: str) -> None:
        self._serve(request, response, workload, rest)

    def on_post(self, request, response, workload: str, rest: str) -> None:
        self._serve(request, response, workload, rest)

    def on_put(self, request, response, workload: str, rest: str) -> None:
        self._serve(request, response, workload, rest)

    def on_delete(self, request, response, workload: str, rest: str) -> None:
        self._serve(request, response, workload, rest)

    def _serve(
        self,
        request: falcon.Request,
        response: falcon.Response,
        workload: str,
        rest: str,
    ) -> None:
        request_id = uuid.uuid4().hex
        query = f"?{request.query_string}" if request.query_string else ""
        arrived = read_incoming_request(request, request_id, self._max_body_bytes).bind(
            lambda incoming: service_request(incoming, workload, f"/{rest}{query}")
        )
        _respond(self._callers, arrived, response)


def _respond(callers: Callers, arrived, response: falcon.Response) -> None:
    if arrived.is_error():
        _respond_problem(response, arrived.error)
        return
    request_id = arrived.ok.request_id
    response.set_header("X-Request-Id", request_id)
    queue = callers.open_request(arrived.ok)
    first = callers.wait_for_first_reply(queue, arrived.ok)
    match first:
        case Deliver():
            response.content_type = EVENT_STREAM
            response.set_header("Cache-Control", "no-store")
            response.stream = _stream(callers, request_id, first, queue)
        case Complete():
            callers.close_request(request_id)
            _respond_complete(response, first, arrived.ok.stream)
        case Fail():
            callers.close_request(request_id)
            _respond_problem(response, first)


def _respond_complete(
    response: falcon.Response, answer: Complete, stream: bool
) -> None:
    response.status = answer.status
    response.content_type = answer.content_type
    # The answer to a stream without any events is only the end marker.
    response.data = END_OF_STREAM if stream and not answer.body else answer.body


def _respond_problem(response: falcon.Response, fail: Fail) -> None:
    problem = problem_of(fail)
    response.status = problem["status"]
    response.content_type = PROBLEM_CONTENT_TYPE
    response.data = problem_body(problem)
    retry_after = retry_after_s(fail)
    if retry_after is not None:
        response.set_header("Retry-After", retry_after)


def _stream(
    callers: Callers, request_id: str, first: Deliver, queue: Queue
) -> Iterator[bytes]:
    """Yield the events of an answer.

    Closing the generator early means that the caller has disconnected.
    """
    ended = False
    reply: Reply = first
    try:
        while not ended:
            match reply:
                case Deliver(_, pieces):
                    yield b"".join(b"data: %s\n\n" % piece for piece in pieces)
                    reply = queue.get()
                case Complete():
                    ended = True
                    yield END_OF_STREAM
                case Fail():
                    ended = True
                    body = problem_body(problem_of(reply))
                    yield b"event: error\ndata: %s\n\n" % body
    finally:
        if ended:
            callers.close_request(request_id)
        else:
            callers.handle_disconnect(request_id)
