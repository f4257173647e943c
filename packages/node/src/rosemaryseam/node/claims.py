"""Claims on idempotency keys, which ensure at most one execution for each key.

The claim's record is created in the platform's key-value service before the request is
sent, only if the key is absent there. The record contains the id of the attempt: if the
answer to a write is lost, reading the record back shows whether the write took effect.
"""

from __future__ import annotations

import base64
import hashlib
import uuid
from typing import TYPE_CHECKING, Literal, NamedTuple

from loguru import logger
from pydantic import TypeAdapter

from rosemaryseam.common.decoding import decoding
from rosemaryseam.common.documents import to_json
from rosemaryseam.common.errors import (
    PlatformError,
    RequestError,
    ResultCode,
    UnknownOutcomeError,
    UnreadableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.keyvalue import KeyValueStore, VersionedValue
    from rosemaryseam.common.metrics import Metrics

CLAIM_PREFIX = 'rosemaryseam/claims'
DUPLICATE_WAIT_S = 5.0
# Interval at which a waiting duplicate checks that the claiming process still runs.
CLAIMANT_CHECK_INTERVAL_S = 1.0
RETRY_AFTER_S = 1.0
STORE_FAILURE_BACKOFF_S = 1.0  # keyed requests are refused this long after a failure

CLAIMED = 'claimed'
NOT_RUN = 'not_run'
DONE = 'done'
UNKNOWN = 'unknown'


class KeptAnswer(NamedTuple):
    """The answer of an execution, kept for later duplicates of the request.

    ``body`` is encoded in base64, or ``None`` if the answer was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str | None

    @property
    def content(self) -> bytes:
        """The decoded body."""
        return base64.b64decode(self.body or '')


class ClaimRecord(NamedTuple):
    """The stored state of an idempotency key.

    ``attempt`` is a unique id of the claim. ``host`` and ``incarnation`` identify the
    process that made it. ``fingerprint`` is a digest of the request. ``at`` is the time
    of the claim in ISO format. ``state`` is ``claimed`` until the request has ended,
    then ``not_run`` if it was not sent, ``done`` if it was answered, or ``unknown`` if
    it was sent and may have run without an answer.
    """

    attempt: str
    host: str
    incarnation: int
    fingerprint: str
    state: Literal['claimed', 'not_run', 'done', 'unknown']
    at: str
    answer: KeptAnswer | None = None


class Claim(NamedTuple):
    """A claim made by this process.

    ``key`` is the key of the record in the key-value service, ``index`` the record's
    modification index there.
    """

    key: str
    record: ClaimRecord
    index: int


_RECORD_ADAPTER = TypeAdapter(ClaimRecord)


class ClaimRegistry:
    """Creates claims and records how the claimed requests ended.

    :param store: key-value service of the platform
    :param clock: clock of the process
    :param metrics: counters of the process
    :param host: name of this host
    :param incarnation: incarnation of this process
    :param max_kept_bytes: maximum size of an answer body that is kept for duplicates
    :param process_has_ended: returns whether the process of a host and incarnation is
        known to have ended
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        metrics: Metrics,
        host: str,
        incarnation: int,
        max_kept_bytes: int,
        process_has_ended: Callable[[str, int], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._host = host
        self._incarnation = incarnation
        self._max_kept_bytes = max_kept_bytes
        self._process_has_ended = process_has_ended
        self._store_failed_at = float('-inf')

    def check_available(self) -> None:
        """Refuse the request if a call to the key-value service failed recently.

        :raises RequestError: if a call failed less than the backoff ago
        """
        if self._clock.monotonic() - self._store_failed_at < STORE_FAILURE_BACKOFF_S:
            raise self._unavailable()

    def claim(
        self, workspace: str, idempotency_key: str, fingerprint: str
    ) -> Claim | None:
        """Claim a key, or return ``None`` if another attempt has claimed it.

        :param workspace: name of the caller's workspace
        :param idempotency_key: the caller's idempotency key
        :param fingerprint: digest of the request
        :raises RequestError: if the key-value service failed; the request must not be
            sent
        """
        key = claim_key(workspace, idempotency_key)
        record = ClaimRecord(
            uuid.uuid4().hex,
            self._host,
            self._incarnation,
            fingerprint,
            CLAIMED,
            self._clock.now().isoformat(),
        )
        try:
            return self._write(key, record, 0) or self._claim_not_run_key(key, record)
        except PlatformError as exc:
            raise self._unavailable(exc) from exc

    def wait_for_answer(
        self, workspace: str, idempotency_key: str, fingerprint: str
    ) -> KeptAnswer:
        """Wait for the attempt that claimed a key and return its answer.

        :param workspace: name of the caller's workspace
        :param idempotency_key: the caller's idempotency key
        :param fingerprint: digest of the request
        :raises RequestError: if the key was used for another request, or if the first
            attempt is still in progress, has an unknown outcome or kept no answer
        """
        key = claim_key(workspace, idempotency_key)
        try:
            return self._wait_for_answer(key, self._store.get(key), fingerprint)
        except PlatformError as exc:
            raise self._unavailable(exc) from exc

    def mark_done(
        self,
        claim: Claim,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Store the answer of an execution for later duplicates.

        :param claim: the claim returned by :meth:`claim`
        :param status: HTTP status of the answer
        :param headers: headers of the answer
        :param body: body of the answer
        """
        kept = None
        if len(body) <= self._max_kept_bytes:
            kept = base64.b64encode(body).decode()
        answer = KeptAnswer(status, headers, kept)
        self._write_final_state(claim, claim.record._replace(state=DONE, answer=answer))

    def mark_not_run(self, claim: Claim) -> bool:
        """Record that the request was not sent, so that the key can be claimed again.

        :param claim: the claim returned by :meth:`claim`
        :returns: whether the record was written
        """
        return self._write_final_state(claim, claim.record._replace(state=NOT_RUN))

    def _claim_not_run_key(self, key: str, record: ClaimRecord) -> Claim | None:
        """Claim a key whose last attempt did not send its request."""
        stored = self._store.get(key)
        if stored is None or _parse_record(stored).state != NOT_RUN:
            return None
        return self._write(key, record, stored.index)

    def _write(self, key: str, record: ClaimRecord, index: int) -> Claim | None:
        """Write the record; if the answer was lost, reading back shows the outcome."""
        data = to_json(record)
        try:
            self._store.put(key, data, index)
        except UnknownOutcomeError:
            self._metrics.count('claims_read_back')
        claim = self._read_back(key, record)
        if claim is None and self._stored_index(key) == index:
            self._block_late_write(key, record, index)
            claim = self._read_back(key, record)
            if claim is None:
                raise PlatformError('the claim was not written')
        return claim

    def _read_back(self, key: str, record: ClaimRecord) -> Claim | None:
        stored = self._store.get(key)
        if stored is None or _parse_record(stored) != record:
            return None
        return Claim(key, record, stored.index)

    def _stored_index(self, key: str) -> int:
        stored = self._store.get(key)
        return stored.index if stored is not None else 0

    def _block_late_write(self, key: str, record: ClaimRecord, index: int) -> None:
        """Change the index, so that the unanswered write fails if it arrives later."""
        not_run = record._replace(state=NOT_RUN)
        self._store.put(key, to_json(not_run), index)

    def mark_unknown(self, claim: Claim) -> bool:
        """Record that the request was sent and its outcome is unknown.

        :param claim: the claim returned by :meth:`claim`
        :returns: whether the record was written
        """
        return self._write_final_state(claim, claim.record._replace(state=UNKNOWN))

    def _write_final_state(self, claim: Claim, record: ClaimRecord) -> bool:
        try:
            data = to_json(record)
            return self._store.put(claim.key, data, claim.index)
        except PlatformError:
            self._metrics.count('claims_unsettled')
            logger.warning('cannot write the final state of claim {}', claim.key)
            return False

    def _wait_for_answer(
        self, key: str, stored: VersionedValue | None, fingerprint: str
    ) -> KeptAnswer:
        """Wait until the attempt that claimed the key has ended; return its answer."""
        deadline = self._clock.monotonic() + DUPLICATE_WAIT_S
        while stored is not None:
            record = _parse_record(stored)
            if record.fingerprint != fingerprint:
                message = 'the Idempotency-Key was used for another request'
                raise RequestError(message, ResultCode.KEY_REUSED)
            if record.state == DONE:
                return _kept_answer(record)
            left = deadline - self._clock.monotonic()
            if record.state == UNKNOWN or self._claimant_has_ended(record):
                message = 'the first request with this Idempotency-Key may have run'
                raise RequestError(message, ResultCode.OUTCOME_UNKNOWN)
            if record.state == NOT_RUN or left <= 0:
                break
            stored = self._store.watch(
                key, stored.index, min(left, CLAIMANT_CHECK_INTERVAL_S)
            )
        message = 'a request with this Idempotency-Key is in progress'
        raise RequestError(message, ResultCode.DUPLICATE_IN_PROGRESS, RETRY_AFTER_S)

    def _claimant_has_ended(self, record: ClaimRecord) -> bool:
        running = record.state == CLAIMED
        return running and self._process_has_ended(record.host, record.incarnation)

    def _unavailable(self, cause: PlatformError | None = None) -> RequestError:
        if cause is not None:
            self._store_failed_at = self._clock.monotonic()
            self._metrics.count('key_value_errors', use='claims')
        return RequestError(
            'not run: the claim cannot be stored now',
            ResultCode.CLAIM_STORE_UNAVAILABLE,
            RETRY_AFTER_S,
        )


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the key under which a claim is stored in the key-value service.

    :param workspace: name of the caller's workspace
    :param idempotency_key: the caller's idempotency key
    """
    digest = hashlib.sha256(f'{workspace}\x00{idempotency_key}'.encode()).hexdigest()
    return f'{CLAIM_PREFIX}/{digest}'


def _parse_record(stored: VersionedValue) -> ClaimRecord:
    try:
        with decoding('claim'):
            return _RECORD_ADAPTER.validate_json(stored.value)
    except UnreadableError as exc:
        raise PlatformError('a claim record is malformed') from exc


def _kept_answer(record: ClaimRecord) -> KeptAnswer:
    if record.answer is None or record.answer.body is None:
        message = 'the request was run, and its answer was too large to keep'
        raise RequestError(message, ResultCode.ANSWER_NOT_KEPT)
    return record.answer
