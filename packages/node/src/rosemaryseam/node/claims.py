"""Claims: at most one execution for each idempotency key.

A claim is created if absent in the platform's service before anything is sent.
Its record carries the id of the attempt, so that the lost answer of a write that
took effect is resolved by reading back.
"""

from __future__ import annotations

import base64
import hashlib
import uuid
from typing import TYPE_CHECKING, Literal, NamedTuple

from loguru import logger
from pydantic import TypeAdapter, ValidationError

from rosemaryseam.common.documents import to_json
from rosemaryseam.common.errors import (
    PlatformError,
    RequestError,
    ResultCode,
    UnknownOutcomeError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.keyvalue import KeyValueStore, VersionedValue
    from rosemaryseam.common.metrics import Metrics

CLAIM_PREFIX = 'rosemaryseam/claims'
DUPLICATE_WAIT_S = 5.0
CLAIMANT_CHECK_INTERVAL_S = (
    1.0  # between looks at whether the first execution's host still runs
)
RETRY_AFTER_S = 1.0
STORE_FAILURE_BACKOFF_S = 1.0  # after a failed call, refuse without asking again

CLAIMED = 'claimed'
NOT_RUN = 'not_run'
DONE = 'done'
UNKNOWN = 'unknown'


class KeptAnswer(NamedTuple):
    """The first answer of an execution; ``body`` is ``None`` when too large."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str | None

    @property
    def content(self) -> bytes:
        """The answer's body."""
        return base64.b64decode(self.body or '')


class ClaimRecord(NamedTuple):
    """What the service holds for an idempotency key."""

    attempt: str
    host: str
    incarnation: int
    fingerprint: str
    state: Literal['claimed', 'not_run', 'done', 'unknown']
    at: str
    answer: KeptAnswer | None = None


class Claim(NamedTuple):
    """A claim that this process made."""

    key: str
    record: ClaimRecord
    index: int


_RECORD_ADAPTER = TypeAdapter(ClaimRecord)


class ClaimRegistry:
    """Makes and settles claims.

    :param store: the platform's key-value service
    :param host: this host
    :param incarnation: of this process
    :param max_kept_bytes: the largest answer that is kept for duplicates
    :param ended: tells whether the process of a host and incarnation has ended
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
        """Refuse at once while the service is known to be out.

        :raises RequestError: the service failed a moment ago
        """
        if self._clock.monotonic() - self._store_failed_at < STORE_FAILURE_BACKOFF_S:
            raise self._unavailable()

    def claim(
        self, workspace: str, idempotency_key: str, fingerprint: str
    ) -> Claim | None:
        """Claim a key, or return ``None`` when another attempt has it.

        :param workspace: whose key it is
        :param idempotency_key: the caller's key
        :param fingerprint: digest of the request
        :raises RequestError: the service does not answer; nothing was claimed
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
        """Wait for the attempt that has a key and return its answer.

        :param workspace: whose key it is
        :param idempotency_key: the caller's key
        :param fingerprint: digest of the request
        :raises RequestError: the key was used for another request, or the first
            attempt is in progress, has an unknown end or kept no answer
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
        """Keep the answer of an execution for later duplicates.

        :param claim: what :meth:`claim` returned
        :param status: the upstream's status
        :param headers: the answer's headers
        :param body: the answer's body
        """
        kept = None
        if len(body) <= self._max_kept_bytes:
            kept = base64.b64encode(body).decode()
        answer = KeptAnswer(status, headers, kept)
        self._write_final_state(claim, claim.record._replace(state=DONE, answer=answer))

    def mark_not_run(self, claim: Claim) -> bool:
        """Note that nothing was sent, so that the key can be claimed again.

        :param claim: what :meth:`claim` returned
        :returns: whether the note was written
        """
        return self._write_final_state(claim, claim.record._replace(state=NOT_RUN))

    def _claim_not_run_key(self, key: str, record: ClaimRecord) -> Claim | None:
        """Claim a key whose last attempt sent nothing."""
        stored = self._store.get(key)
        if stored is None or _parse_record(stored).state != NOT_RUN:
            return None
        return self._write(key, record, stored.index)

    def _write(self, key: str, record: ClaimRecord, index: int) -> Claim | None:
        """Create the record; resolve a lost answer by reading back."""
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
        """Move the index on, so that the unanswered write fails if it arrives."""
        note = record._replace(state=NOT_RUN)
        self._store.put(key, to_json(note), index)

    def mark_unknown(self, claim: Claim) -> bool:
        """Note that the request was sent and its end is not known.

        :param claim: what :meth:`claim` returned
        :returns: whether the note was written
        """
        return self._write_final_state(claim, claim.record._replace(state=UNKNOWN))

    def _write_final_state(self, claim: Claim, record: ClaimRecord) -> bool:
        try:
            data = to_json(record)
            return self._store.put(claim.key, data, claim.index)
        except PlatformError:
            self._metrics.count('claims_unsettled')
            logger.warning('claim {} could not be settled', claim.key)
            return False

    def _wait_for_answer(
        self, key: str, stored: VersionedValue | None, fingerprint: str
    ) -> KeptAnswer:
        """Wait for the execution that has the key and return its answer."""
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
    """Return the key under which a claim is stored.

    :param workspace: whose key it is
    :param idempotency_key: the caller's key
    """
    digest = hashlib.sha256(f'{workspace}\x00{idempotency_key}'.encode()).hexdigest()
    return f'{CLAIM_PREFIX}/{digest}'


def _parse_record(stored: VersionedValue) -> ClaimRecord:
    try:
        return _RECORD_ADAPTER.validate_json(stored.value)
    except ValidationError as exc:
        raise PlatformError('a claim record is malformed') from exc


def _kept_answer(record: ClaimRecord) -> KeptAnswer:
    if record.answer is None or record.answer.body is None:
        message = 'the request was run, and its answer was too large to keep'
        raise RequestError(message, ResultCode.ANSWER_NOT_KEPT)
    return record.answer
