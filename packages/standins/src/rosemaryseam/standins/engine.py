"""Stand-in for a model engine that generates tokens in steps of a continuous batch.

It implements the OpenAI-compatible interface with three common extensions:
``priority`` in the body, ``X-Request-Id``, and ``X-Resume-Events``, the number of
stream events that the caller has already received.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import falcon
import gevent
from absl import flags
from gevent.event import Event
from gevent.queue import Queue

from rosemaryseam.common.callerwatch import watch_caller
from rosemaryseam.common.clock import Clock, SystemClock
from rosemaryseam.common.requestholder import SOCKET_KEY
from rosemaryseam.standins.content import answer_tokens, digest_request
from rosemaryseam.standins.serving import ControlResource, main

if TYPE_CHECKING:
    from collections.abc import Iterator

_MODELS = flags.DEFINE_list('models', ['small'], 'Models that the engine serves.')
_BATCH = flags.DEFINE_integer(
    'batch', 8, 'Maximum number of requests in a batch.', lower_bound=1
)
_STEP_MS = flags.DEFINE_float(
    'step_ms', 10.0, 'Duration of a step with an empty batch.'
)
_SEQUENCE_MS = flags.DEFINE_float(
    'sequence_ms', 0.5, 'Step time added by each sequence.'
)
_PREFILL_MS = flags.DEFINE_float(
    'prefill_ms', 20.0, 'Prefill time of an uncached prompt.'
)
_LAG_S = flags.DEFINE_float('lag_s', 0.5, 'Age of the load reports.')

CACHED_PREFIX_CHARS = 256
MAX_CACHED_PREFIXES = 64
SILENCE_S = 3600.0
CREATED_AT = 1_760_000_000
END_OF_OUTPUT = None


class CrashedError(Exception):
    """Raised when a simulated crash drops the connection of a request."""


class Sequence:
    """A request on the engine, with its output.

    :param body: parsed completion request
    :param request_id: id of the request
    :param request_class: request class, empty if it is unknown
    :param resume: number of stream events that the caller has already received
    """

    def __init__(
        self,
        body: dict[str, Any],
        request_id: str,
        request_class: str,
        resume: int,
    ) -> None:
        self.body = body
        self.request_id = request_id
        self.request_class = request_class
        self.tokens = answer_tokens(body)
        self.position = min(resume, len(self.tokens))
        self.priority = int(body.get('priority', 0))
        self.output: Queue = Queue()
        self.ended = False


class Engine:
    """Batches sequences, caches prompt prefixes and applies the configured faults."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[Sequence] = []
        self._prefilling: list[Sequence] = []
        self.running: list[Sequence] = []
        self._wake = Event()
        self._cache: dict[str, None] = {}
        self._cache_events: list[dict[str, Any]] = []
        self._load_history: list[tuple[float, int, int]] = []
        self.faults: dict[str, Any] = {}
        self.generation = 0
        self.counts = {
            'accepted': 0,
            'completed': 0,
            'cancelled': 0,
            'peak': 0,
            'tokens': 0,
            'while_leaving': 0,
        }
        self.tokens_by_class: dict[str, int] = {}
        self.log: list[tuple[float, str, str, str]] = []
        gevent.spawn(self._run)

    def apply(self, faults: dict[str, Any]) -> None:
        """Set faults.

        Keys: ``leaving``, ``silent``, ``slow`` (a factor), ``crash_s``, ``lag_s``
        of load reports, ``drop_events`` (drops each n-th cache event) and
        ``events_lag_s``.
        """
        self.faults.update(faults)
        if 'crash_s' in faults:
            self._crash(faults['crash_s'])
        self._wake.set()

    def show(self) -> dict[str, Any]:
        """Return the faults and the counters."""
        return {
            'faults': self.faults,
            'counts': self.counts,
            'running': len(self.running),
            'waiting': len(self._waiting),
            'tokens_by_class': self.tokens_by_class,
            'log': self.log,
        }

    def admit(self, sequence: Sequence) -> None:
        """Queue a request, or refuse it.

        :param sequence: the request
        """
        if self.faults.get('crashed'):
            raise CrashedError
        self._log_event('accepted', sequence)
        if self.faults.get('leaving'):
            self.counts['while_leaving'] += 1
            raise falcon.HTTPServiceUnavailable(headers={'X-Upstream-State': 'leaving'})
        self.counts['accepted'] += 1
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda entry: entry.priority)
        active_count = len(self._active_sequences())
        self.counts['peak'] = max(self.counts['peak'], active_count)
        self._wake.set()

    def cancel(self, sequence: Sequence) -> None:
        """Cancel a request whose caller closed the connection.

        :param sequence: the request
        """
        if not sequence.ended:
            sequence.ended = True
            self.counts['cancelled'] += 1
            self._log_event('cancelled', sequence)
            self._remove(sequence)

    def report(self) -> tuple[int, int]:
        """Return the delayed numbers of running and waiting requests."""
        horizon = self._clock.monotonic() - self.faults.get('lag_s', _LAG_S.value)
        old = [entry for entry in self._load_history if entry[0] <= horizon]
        return (old[-1][1], old[-1][2]) if old else (0, 0)

    def cache_events(self, after: int) -> list[dict[str, Any]]:
        """Return cache events from a position, delayed and without dropped events."""
        gap = self.faults.get('drop_events', 0)
        horizon = self._clock.monotonic() - self.faults.get('events_lag_s', 0.0)
        return [
            entry
            for entry in self._cache_events[after:]
            if entry['at'] <= horizon and (not gap or entry['seq'] % gap)
        ]

    def _run(self) -> None:
        while True:
            self._fill_batch()
            self._record_load()
            if not self.running:
                self._wake.clear()
                self._wake.wait(0.05)
                continue
            gevent.sleep(self._step_duration_s())
            if self.faults.get('silent'):
                gevent.sleep(0.05)
                continue
            for sequence in list(self.running):
                self._generate_token(sequence)

    def _step_duration_s(self) -> float:
        step_ms = _STEP_MS.value + _SEQUENCE_MS.value * len(self.running)
        return step_ms * self.faults.get('slow', 1.0) / 1000

    def _fill_batch(self) -> None:
        while self._waiting and len(self.running) < _BATCH.value:
            sequence = self._waiting.pop(0)
            self._prefilling.append(sequence)
            if not self._lookup_prefix(sequence):
                gevent.sleep(_PREFILL_MS.value * self.faults.get('slow', 1.0) / 1000)
            self._prefilling.remove(sequence)
            if not sequence.ended:
                self.running.append(sequence)

    def _lookup_prefix(self, sequence: Sequence) -> bool:
        prompt = sequence.body.get('messages', sequence.body.get('prompt'))
        prefix = json.dumps(prompt)[:CACHED_PREFIX_CHARS]
        hit = prefix in self._cache
        self._cache.pop(prefix, None)
        self._cache[prefix] = None
        if len(self._cache) > MAX_CACHED_PREFIXES:
            del self._cache[next(iter(self._cache))]
        self._cache_events.append(
            {
                'seq': len(self._cache_events),
                'at': self._clock.monotonic(),
                'stored': prefix,
                'hit': hit,
            }
        )
        return hit

    def _generate_token(self, sequence: Sequence) -> None:
        if sequence.position < len(sequence.tokens):
            sequence.output.put(sequence.position)
            sequence.position += 1
            self.counts['tokens'] += 1
            name = sequence.request_class
            self.tokens_by_class[name] = self.tokens_by_class.get(name, 0) + 1
        if sequence.position >= len(sequence.tokens):
            self.counts['completed'] += 1
            self._log_event('completed', sequence)
            sequence.ended = True
            sequence.output.put(END_OF_OUTPUT)
            self._remove(sequence)

    def _active_sequences(self) -> list[Sequence]:
        """Return the accepted sequences that have not ended."""
        held = [*self._waiting, *self._prefilling, *self.running]
        return [sequence for sequence in held if not sequence.ended]

    def _log_event(self, event: str, sequence: Sequence) -> None:
        """Log an event with the machine's monotonic time, for checks of the history."""
        moment = self._clock.monotonic()
        entry = (moment, event, sequence.request_class, sequence.request_id)
        self.log.append(entry)

    def _remove(self, sequence: Sequence) -> None:
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence in self._waiting:
            self._waiting.remove(sequence)

    def _record_load(self) -> None:
        now = self._clock.monotonic()
        self._load_history.append((now, len(self.running), len(self._waiting)))
        del self._load_history[:-2000]

    def _crash(self, seconds: float) -> None:
        self.faults['crashed'] = True
        self._cache.clear()
        for sequence in self._active_sequences():
            sequence.ended = True
            sequence.output.put(CrashedError())
            self._remove(sequence)
        gevent.spawn_later(seconds, self.faults.pop, 'crashed', None)


class CompletionResource:
    """Serves ``/v1/chat/completions`` and ``/v1/completions``."""

    def __init__(self, engine: Engine, *, chat: bool) -> None:
        self._engine = engine
        self._chat = chat

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Generate an answer as a stream of events or as one object."""
        body = req.get_media()
        if body.get('model') not in _MODELS.value:
            raise falcon.HTTPNotFound(title='model not found')
        resume = int(req.get_header('X-Resume-Events') or 0)
        request_id = req.get_header('X-Request-Id') or digest_request(body)[:12]
        request_class = req.get_header('X-Request-Class') or ''
        sequence = Sequence(body, request_id, request_class, resume)
        self._engine.admit(sequence)
        if body.get('stream'):
            resp.content_type = 'text/event-stream'
            resp.stream = self._stream(sequence, resume, req.env[SOCKET_KEY])
        else:
            list(self._output_positions(sequence, req.env[SOCKET_KEY]))
            resp.media = self._build_answer(sequence)

    def _output_positions(self, sequence: Sequence, sock: Any) -> Iterator[int]:
        with watch_caller(sock):
            yield from self._watched_output_positions(sequence)

    def _watched_output_positions(self, sequence: Sequence) -> Iterator[int]:
        try:
            while True:
                item = sequence.output.get()
                if item is END_OF_OUTPUT:
                    return
                if isinstance(item, CrashedError):
                    raise item
                yield item
        finally:
            self._engine.cancel(sequence)

    def _stream(self, sequence: Sequence, resume: int, sock: Any) -> Iterator[bytes]:
        for position in self._output_positions(sequence, sock):
            text = sequence.tokens[position]
            yield _event(self._build_chunk(sequence, text, None, first=position == 0))
        tail = [_event(self._build_chunk(sequence, '', 'stop', first=False))]
        if (sequence.body.get('stream_options') or {}).get('include_usage'):
            chunk = self._build_chunk(sequence, '', None, first=False)
            tail.append(_event({**chunk, 'choices': [], 'usage': _usage(sequence)}))
        tail.append(b'data: [DONE]\n\n')
        yield from tail[max(0, resume - len(sequence.tokens)) :]

    def _build_chunk(
        self, sequence: Sequence, text: str, finish: str | None, *, first: bool
    ) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
        if self._chat:
            choice['delta'] = {'content': text} if finish is None else {}
            if first:
                choice['delta']['role'] = 'assistant'
        else:
            choice['text'] = text
        kind = 'chat.completion.chunk' if self._chat else 'text_completion'
        return {**_envelope(sequence, kind), 'choices': [choice]}

    def _build_answer(self, sequence: Sequence) -> dict[str, Any]:
        text = ''.join(sequence.tokens)
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
        if self._chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        kind = 'chat.completion' if self._chat else 'text_completion'
        envelope = _envelope(sequence, kind)
        return {**envelope, 'choices': [choice], 'usage': _usage(sequence)}


class ReportResource:
    """Serves load reports, models and cache events."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get_metrics(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``/metrics`` in the Prometheus text format."""
        running, waiting = self._engine.report()
        resp.content_type = 'text/plain'
        resp.text = (
            '# TYPE vllm:num_requests_running gauge\n'
            f'vllm:num_requests_running {running}\n'
            '# TYPE vllm:num_requests_waiting gauge\n'
            f'vllm:num_requests_waiting {waiting}\n'
        )

    def on_get_models(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``/v1/models``."""
        models = [{'id': name, 'object': 'model'} for name in _MODELS.value]
        resp.media = {'object': 'list', 'data': models}

    def on_get_events(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``/cache_events?after=N``."""
        resp.media = self._engine.cache_events(req.get_param_as_int('after') or 0)


def _envelope(sequence: Sequence, kind: str) -> dict[str, Any]:
    return {
        'id': f'cmpl-{sequence.request_id}',
        'object': kind,
        'created': CREATED_AT,
        'model': sequence.body['model'],
    }


def _usage(sequence: Sequence) -> dict[str, int]:
    prompt = sequence.body.get('messages', sequence.body.get('prompt'))
    prompt_tokens = len(json.dumps(prompt).split())
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': len(sequence.tokens),
        'total_tokens': prompt_tokens + len(sequence.tokens),
    }


def _event(chunk: dict[str, Any]) -> bytes:
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


def build() -> falcon.App:
    """Return the WSGI application of the engine."""
    engine = Engine(SystemClock())
    reports = ReportResource(engine)
    application = falcon.App()
    chat = CompletionResource(engine, chat=True)
    text = CompletionResource(engine, chat=False)
    application.add_route('/v1/chat/completions', chat)
    application.add_route('/v1/completions', text)
    application.add_route('/v1/models', reports, suffix='models')
    application.add_route('/metrics', reports, suffix='metrics')
    application.add_route('/cache_events', reports, suffix='events')
    application.add_route('/control', ControlResource(engine.apply, engine.show))
    return application


if __name__ == '__main__':
    main(build)
