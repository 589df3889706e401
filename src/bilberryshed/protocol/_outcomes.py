"""Refusals returned to callers and findings reported to operators."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a refused request may have been executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalCode(StrEnum):
    """Stable, machine-readable reason for a refusal."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_BUDGET = "unknown_budget"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNREACHABLE = "budget_unreachable"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_CAPACITY = "no_capacity"
    NO_SHEET = "no_sheet"
    DRAINING = "draining"
    IN_PROGRESS = "in_progress"
    BACKEND_FAILED = "backend_failed"
    ANSWER_DAMAGED = "answer_damaged"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUARANTINED = "quarantined"


HTTP_STATUS = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.FORBIDDEN: 403,
    RefusalCode.UNKNOWN_MODEL: 404,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.UNKNOWN_BUDGET: 404,
    RefusalCode.KEY_REQUIRED: 400,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.BUDGET_EXHAUSTED: 402,
    RefusalCode.BUDGET_UNREACHABLE: 503,
    RefusalCode.STORE_UNAVAILABLE: 503,
    RefusalCode.NO_CAPACITY: 503,
    RefusalCode.NO_SHEET: 503,
    RefusalCode.DRAINING: 503,
    RefusalCode.IN_PROGRESS: 409,
    RefusalCode.BACKEND_FAILED: 502,
    RefusalCode.ANSWER_DAMAGED: 502,
    RefusalCode.OUTCOME_UNKNOWN: 502,
    RefusalCode.QUARANTINED: 422,
}


@dataclass(slots=True, frozen=True)
class Refusal:
    """Reason for which a request is refused.

    :param code: stable code of the reason
    :param reason: human-readable reason, naming the offending value
    :param outcome: whether the request may have been executed
    :param retry_after: seconds after which a retry can succeed; ``None`` if it never can
    """

    code: RefusalCode
    reason: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: int | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the response for this refusal."""
        return HTTP_STATUS[self.code]


@dataclass(slots=True, frozen=True, order=True)
class Finding:
    """One error in an operator's input, with its location.

    :param source: file name
    :param location: section and key, or row and column
    :param text: description of the error, naming the offending value
    """

    source: str
    location: str
    text: str

    def __str__(self) -> str:
        return f"{self.source}: {self.location}: {self.text}"
