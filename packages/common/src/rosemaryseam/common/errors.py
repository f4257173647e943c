"""The exception tree and the numbered result codes."""

from __future__ import annotations

import enum


class ResultCode(enum.IntEnum):
    """Numbered results, shown to callers, operators and as exit codes.

    ``docs/using/result-codes.md`` explains each; a test keeps both in step.
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
    """The root of all errors of the project.

    :param message: one line for a person
    :param code: the numbered result; the class's default when omitted
    """

    code = ResultCode.INTERNAL

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class SettingsError(RosemaryseamError):
    """A settings file is missing or wrong."""

    code = ResultCode.SETTINGS_INVALID


class CatalogueError(RosemaryseamError):
    """A catalogue is invalid, absent or conflicts with another revision."""

    code = ResultCode.CATALOGUE_INVALID


class RequestError(RosemaryseamError):
    """A caller's request is refused.

    :param retry_after: seconds after which another try makes sense, or ``None``
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
    """An upstream failed, refused or went silent.

    :param written: whether a byte of the request may have reached the upstream
    """

    code = ResultCode.UPSTREAM_FAILED

    def __init__(self, message: str, *, written: bool, leaving: bool = False) -> None:
        super().__init__(message)
        self.written = written
        self.leaving = leaving


class PlatformError(RosemaryseamError):
    """A platform service did not answer, or refused."""

    code = ResultCode.KEY_VALUE_UNAVAILABLE


class UnknownOutcomeError(PlatformError):
    """A write was sent to the platform and no answer came back."""

    code = ResultCode.KEY_VALUE_UNKNOWN_OUTCOME


class PeerError(RosemaryseamError):
    """A message between hosts is malformed or a host cannot be reached."""

    code = ResultCode.PEER_PROTOCOL
