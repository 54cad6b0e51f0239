"""Decide whether a failed send is retried, and limit retries with a budget."""

from magnoliapier.reasons import RefusalReason, RetryReason, RunState
from magnoliapier.request_tables import SendOutcome

# Each admitted request adds this many tokens, so retries of sends that may have run add
# at most 10 % to the sends in the long run. The design allows 20 %.
TOKENS_PER_REQUEST = 0.1
INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0
# Tokens for the retry of a send that certainly did not run. It costs less because the
# send used no slot time of its endpoint; other retries cost one token.
NOT_RUN_COST = 0.1
# Requests may borrow slots only while the budget exceeds these tokens, which are left
# for retries after failures.
RESERVED_TOKENS = 2.0
# After a send that may have run, a request is retried only if fewer than this many of
# its sends may have run: further ones would only add load during a failure.
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
    """A token bucket for the retries of each service and organisation."""

    def __init__(self):
        self._tokens = {}

    def deposit(self, service, organisation):
        """Add the tokens of one admitted request."""
        key = (service, organisation)
        tokens = self._tokens.get(key, INITIAL_TOKENS) + TOKENS_PER_REQUEST
        self._tokens[key] = min(tokens, MAX_TOKENS)

    def allows_borrowing(self, service, organisation):
        """Return whether the budget has more than the tokens reserved for failures."""
        tokens = self._tokens.get((service, organisation), INITIAL_TOKENS)
        return tokens > RESERVED_TOKENS

    def withdraw(self, service, organisation, run_state):
        """
        Take the cost of a retry from the budget; return whether there was enough.

        ``run_state`` is that of the failed send.
        """
        key = (service, organisation)
        cost = NOT_RUN_COST if run_state is RunState.NOT_RUN else 1.0
        tokens = self._tokens.get(key, INITIAL_TOKENS)
        if tokens < cost:
            return False
        self._tokens[key] = tokens - cost
        return True

    def forget(self, services, organisations):
        """Drop all budgets except those of the given services and organisations."""
        for key in list(self._tokens):
            if key[0] not in services or key[1] not in organisations:
                del self._tokens[key]


def may_retry(request, result, running_attempts, now):
    """
    Return whether a request may be sent again after a failed send.

    ``running_attempts`` counts the request's sends that may have run. The caller
    checks the budget and whether another endpoint is left.
    """
    if request.cancelled or result.outcome not in RETRY_REASONS:
        return False
    if now >= request.deadline:
        return False
    if result.run_state is RunState.NOT_RUN:
        return True
    return request.idempotent and running_attempts < MAX_RUNNING_ATTEMPTS
