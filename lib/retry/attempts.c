#include "retry/retry.h"

#define HUNDREDTHS 100

void retry_budget_init(struct retry_budget *budget)
{
	budget->hundredths = RETRY_BURST * HUNDREDTHS;
}

void retry_budget_request(struct retry_budget *budget, int ratio_percent)
{
	if (ratio_percent < 0)
		ratio_percent = 0;
	if (ratio_percent > 100)
		ratio_percent = 100;
	budget->hundredths += ratio_percent;
	if (budget->hundredths > RETRY_BURST * HUNDREDTHS)
		budget->hundredths = RETRY_BURST * HUNDREDTHS;
}

bool retry_budget_take(struct retry_budget *budget)
{
	if (budget->hundredths < HUNDREDTHS)
		return false;
	budget->hundredths -= HUNDREDTHS;
	return true;
}

json_t *retry_budget_dump(const struct retry_budget *budget)
{
	return json_pack("{s:f, s:f}", "retries_left",
			 (double)budget->hundredths / HUNDREDTHS, "burst",
			 (double)RETRY_BURST);
}

/* Splits the remaining retries between this ingress and the next attempt. */
static void split(struct retry_attempts *attempts, int retries)
{
	attempts->passed = attempts->may_retry_unknown ? retries / 2 : retries;
	attempts->kept = retries - attempts->passed;
}

void retry_attempts_init(struct retry_attempts *attempts,
			 const struct request_context *context, bool idempotent,
			 bool at_most_once)
{
	int retries = context->retries;

	if (retries < 0)
		retries = 0;
	if (retries > CONTEXT_RETRIES_MAX)
		retries = CONTEXT_RETRIES_MAX;
	attempts->may_retry_unknown = idempotent && !at_most_once;
	split(attempts, retries);
}

const char *retry_decision_name(enum retry_decision decision)
{
	switch (decision) {
	case RETRY_YES:
		return "yes";
	case RETRY_NO_OUTCOME:
		return "outcome";
	case RETRY_NO_USE:
		return "no-use";
	case RETRY_NO_LEFT:
		return "none-left";
	case RETRY_NO_DEADLINE:
		return "deadline";
	case RETRY_NO_BUDGET:
		return "budget";
	}
	return "invalid";
}

enum retry_decision retry_decide(struct retry_attempts *attempts,
				 struct retry_budget *budget,
				 enum failure_reason reason, bool idempotent,
				 bool at_most_once, int64_t now,
				 int64_t deadline)
{
	const struct failure *failure = failure_get(reason);
	int retries = attempts->kept;

	if (!retry_allowed(reason, idempotent, at_most_once))
		return RETRY_NO_OUTCOME;
	if (!failure->another_may_help)
		return RETRY_NO_USE;
	if (failure->outcome == OUTCOME_NOT_RUN)
		retries += attempts->passed;
	if (retries <= 0)
		return RETRY_NO_LEFT;
	if (now >= deadline)
		return RETRY_NO_DEADLINE;
	if (!retry_budget_take(budget))
		return RETRY_NO_BUDGET;
	split(attempts, retries - 1);
	return RETRY_YES;
}
