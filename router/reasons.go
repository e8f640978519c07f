package router

// answerReason says why a query gets its final answer from this controller and not from an engine.
type answerReason int

const (
	// noReason: the query is not rejected or failed.
	noReason answerReason = iota
	// reasonArrivalWaitTooLong: queries wait too long until a step takes them in, and this one could not
	// be in time.
	reasonArrivalWaitTooLong
	// reasonArrivalWaitShare: the same, and this one belongs to the share that is rejected to shorten the
	// waits.
	reasonArrivalWaitShare
	// reasonOrderingQueueTooLong: those ahead of it in the queue of its ordering key take too long.
	reasonOrderingQueueTooLong
	// reasonOverQuota: there is overload, and its tenant is over its quota.
	reasonOverQuota
	// reasonLateInOverload: there is overload, and it could only be late.
	reasonLateInOverload
	// reasonCannotFinish: by its own estimate it can't end before its client timeout.
	reasonCannotFinish
	// reasonTooLarge: by its own estimate it is larger than admission control takes now.
	reasonTooLarge
	// reasonOverdue: it was queued for as long as was worth it.
	reasonOverdue
	// reasonAnswerDue: its client timeout, or this controller's shutdown, is about to come.
	reasonAnswerDue
	// reasonAttemptsExhausted: its last attempt failed, and no other is allowed.
	reasonAttemptsExhausted
)

var answerReasonNames = [...]string{
	noReason:                   "none",
	reasonArrivalWaitTooLong:   "arrivals too slow",
	reasonArrivalWaitShare:     "arrivals too slow, share rejected",
	reasonOrderingQueueTooLong: "ordering queue too long",
	reasonOverQuota:            "tenant over quota in overload",
	reasonLateInOverload:       "late in overload",
	reasonCannotFinish:         "cannot finish in time",
	reasonTooLarge:             "too large in overload",
	reasonOverdue:              "queued too long",
	reasonAnswerDue:            "client timeout or shutdown",
	reasonAttemptsExhausted:    "attempts exhausted",
}

func (reason answerReason) String() string { return answerReasonNames[reason] }

// waitReason says why a queued query may not start an attempt on any engine just now. That no
// engine has capacity for it is not among these: selectEngine finds that out.
type waitReason int

const (
	// notWaiting: an attempt may start, if an engine is found.
	notWaiting waitReason = iota
	// waitOrdering: it is not at the head of the queue of each of its ordering keys, or a key is in
	// cooldown.
	waitOrdering
	// waitAnswered: it has its answer or has begun to get it.
	waitAnswered
	// waitOutcome: the outcome of an attempt is waited for.
	waitOutcome
	// waitAnswerDue: there is no time left for an attempt.
	waitAnswerDue
	// waitAttemptsExhausted: no further attempt is allowed.
	waitAttemptsExhausted
	// waitRetryBudget: the retry budget is used up for now.
	waitRetryBudget
)

var waitReasonNames = [...]string{
	notWaiting:            "not waiting",
	waitOrdering:          "ordering key",
	waitAnswered:          "answered",
	waitOutcome:           "attempt outstanding",
	waitAnswerDue:         "client timeout or shutdown",
	waitAttemptsExhausted: "attempts exhausted",
	waitRetryBudget:       "retry budget",
}

func (reason waitReason) String() string { return waitReasonNames[reason] }
