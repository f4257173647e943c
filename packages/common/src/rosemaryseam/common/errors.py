"""The exception hierarchy and the numbered result codes."""

from __future__ import annotations

import enum


class ResultCode(enum.IntEnum):
    """Numbered results, shown to callers and operators and used as exit codes.

    ``docs/using/result-codes.md`` describes each; a test compares it with this class.
    """

    OK = 0
    USAGE = 2

    SETTINGS_FILE_MISSING = 10
    SETTINGS_INVALID = 11
    ADDRESS_IN_USE = 12
    ADDRESS_INVALID = 13

    CATALOGUE_INVALID = 20
    CATALOGUE_CONFLICT = 21
    CATALOGUE_UNKNOWN_OUTCOME = 22
    CATALOGUE_ABSENT = 23
    CATALOGUE_NOT_DISTRIBUTED = 24

    BAD_REQUEST = 40
    UNAUTHENTICATED = 41
    CLASS_NOT_ALLOWED = 43
    NOT_FOUND = 44
    CLIENT_GONE = 45
    DUPLICATE_IN_PROGRESS = 46
    KEY_REUSED = 47
    BODY_TOO_LARGE = 48

    NO_CAPACITY = 60
    DEADLINE_EXCEEDED = 61
    NO_UPSTREAM = 62
    NOT_READY = 63
    MINORITY = 64
    CLAIM_STORE_UNAVAILABLE = 65
    UPSTREAM_FAILED = 66
    OUTCOME_UNKNOWN = 67
    ANSWER_NOT_KEPT = 68

    KEY_VALUE_UNAVAILABLE = 80
    KEY_VALUE_UNKNOWN_OUTCOME = 81
    HOST_UNREACHABLE = 82
    PEER_PROTOCOL = 83
    NOT_IN_LOGS = 84
    INTERNAL = 99


class RosemaryseamError(Exception):
    """Base class of all errors of the project.

    :param message: one line for people
    :param code: the result code; the default of the class when omitted
    """

    code = ResultCode.INTERNAL

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class SettingsError(RosemaryseamError):
    """Raised when a settings file is missing or invalid."""

    code = ResultCode.SETTINGS_INVALID


class CatalogueError(RosemaryseamError):
    """Raised when a catalogue is invalid, absent or conflicts with another revision."""

    code = ResultCode.CATALOGUE_INVALID


class UnreadableError(RosemaryseamError):
    """Raised when data of another writer cannot be decoded."""


class RequestError(RosemaryseamError):
    """Raised when a caller's request is refused.

    :param message: one line for the caller
    :param code: the result code; the default of the class when omitted
    :param retry_after: seconds after which a retry may succeed, or ``None``
    """

    code = ResultCode.BAD_REQUEST

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message, code)
        self.retry_after = retry_after


class UpstreamError(RosemaryseamError):
    """Raised when an upstream failed, refused or stopped answering.

    :param message: one line for people
    :param written: whether a byte of the request may have reached the upstream
    :param leaving: whether the upstream refused because it is leaving
    """

    code = ResultCode.UPSTREAM_FAILED

    def __init__(self, message: str, *, written: bool, leaving: bool = False) -> None:
        super().__init__(message)
        self.written = written
        self.leaving = leaving


class PlatformError(RosemaryseamError):
    """Raised when a platform service did not answer, or refused."""

    code = ResultCode.KEY_VALUE_UNAVAILABLE


class UnknownOutcomeError(PlatformError):
    """Raised when a write was sent to the platform and got no answer."""

    code = ResultCode.KEY_VALUE_UNKNOWN_OUTCOME


class PeerError(RosemaryseamError):
    """Raised when a message between hosts is malformed or a host is unreachable."""

    code = ResultCode.PEER_PROTOCOL
