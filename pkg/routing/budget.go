package routing

const (
	// attemptsPerRetry is the number of first attempts that allow one retry, so that
	// retries and hedges add at most a tenth to the load.
	attemptsPerRetry = 10
	// maxSavedAttempts bounds the budget that accumulates while nothing fails.
	maxSavedAttempts = 50 * attemptsPerRetry
)

// RetryBudget limits retries and hedges to a fraction of the first attempts. It
// starts empty, so the limit holds from the first request on.
type RetryBudget struct {
	saved int
	// unlimited allows every retry; only tests set it.
	unlimited bool
}

// UnlimitedRetryBudget returns a budget without a limit. It is for tests that check that a
// missing limit is detected.
func UnlimitedRetryBudget() RetryBudget { return RetryBudget{unlimited: true} }

// FirstAttempt credits the budget with a request that is not a retry.
func (b *RetryBudget) FirstAttempt() { b.saved = min(b.saved+1, maxSavedAttempts) }

// Spend takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Spend() bool {
	if b.unlimited {
		return true
	}
	if b.saved < attemptsPerRetry {
		return false
	}
	b.saved -= attemptsPerRetry
	return true
}
