"""Rules and budgets of retries."""

from magnoliapier.reasons import RefusalReason, RetryReason, RunState
from magnoliapier.request_tables import SendOutcome

# Each admitted request pays for a tenth of a retry, so retries add at most 10 %
# to the sends in the long run; the design's limit is 20 %.
DEPOSIT = 0.1
FIRST_TOKENS = 3.0
MAX_TOKENS = 20.0
# A send that provably did not run costs its endpoint no slot time.
NOT_RUN_COST = 0.1
# Busy answers to borrowed slots leave these tokens for other retries.
KEPT_TOKENS = 2.0
# Sends of one request that may have run; more only add load during a failure.
MAX_RUNNING_ATTEMPTS = 3

RETRY_REASONS = {
    SendOutcome.FAILED: RetryReason.ENDPOINT_FAILED,
    SendOutcome.BUSY: RetryReason.ENDPOINT_BUSY,
    SendOutcome.DRAINING: RetryReason.ENDPOINT_DRAINING,
    SendOutcome.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    SendOutcome.TIMEOUT: RetryReason.ENDPOINT_TIMEOUT,
    SendOutcome.SILENT: RetryReason.CONNECTION_SILENT,
    SendOutcome.RESET: RetryReason.CONNECTION_RESET,
    SendOutcome.INCOMPLETE: RetryReason.ANSWER_INCOMPLETE,
}
REFUSAL_REASONS = {
    SendOutcome.FAILED: RefusalReason.ENDPOINT_FAILED,
    SendOutcome.BUSY: RefusalReason.ENDPOINT_BUSY,
    SendOutcome.DRAINING: RefusalReason.ENDPOINT_BUSY,
    SendOutcome.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    SendOutcome.TIMEOUT: RefusalReason.ENDPOINT_TIMEOUT,
    SendOutcome.SILENT: RefusalReason.ENDPOINT_TIMEOUT,
    SendOutcome.RESET: RefusalReason.ENDPOINT_FAILED,
    SendOutcome.INCOMPLETE: RefusalReason.ANSWER_INCOMPLETE,
    SendOutcome.CALLER_GONE: RefusalReason.CALLER_GONE,
}


class RetryBudget:
    """Tokens for retries, per service and organisation."""

    def __init__(self):
        self._tokens = {}

    def deposit(self, service, organisation):
        """Add the share of a retry that an admitted request pays for."""
        key = (service, organisation)
        tokens = self._tokens.get(key, FIRST_TOKENS) + DEPOSIT
        self._tokens[key] = min(tokens, MAX_TOKENS)

    def allows_borrowing(self, service, organisation):
        """Return whether the budget has tokens beyond those kept for failures."""
        tokens = self._tokens.get((service, organisation), FIRST_TOKENS)
        return tokens > KEPT_TOKENS

    def withdraw(self, service, organisation, run_state):
        """Take a retry's cost from the budget; return whether it sufficed."""
        key = (service, organisation)
        cost = NOT_RUN_COST if run_state is RunState.NOT_RUN else 1.0
        tokens = self._tokens.get(key, FIRST_TOKENS)
        if tokens < cost:
            return False
        self._tokens[key] = tokens - cost
        return True

    def forget(self, services, organisations):
        """Drop the budgets of services and organisations that are gone."""
        for key in list(self._tokens):
            if key[0] not in services or key[1] not in organisations:
                del self._tokens[key]


def may_retry(request, result, running_attempts, now):
    """
    Return whether a failed send may be followed by another one.

    ``running_attempts`` counts the request's sends that may have run. The budget
    and the endpoints that are left are checked by the caller.
    """
    if request.cancelled or result.outcome not in RETRY_REASONS:
        return False
    if now >= request.deadline:
        return False
    if result.run_state is RunState.NOT_RUN:
        return True
    return request.idempotent and running_attempts < MAX_RUNNING_ATTEMPTS
