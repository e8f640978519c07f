package router

// answerReason is why a query gets its final answer from this controller and not from an engine.
type answerReason int

const (
	// noReason: the query is not rejected or failed.
	noReason answerReason = iota
	// reasonArrivalWaitTooLong: arrival waits are too long, and the query can't be in time after one.
	reasonArrivalWaitTooLong
	// reasonArrivalWaitShare: arrival waits are too long, and the query belongs to the share that is
	// rejected to shorten them.
	reasonArrivalWaitShare
	// reasonOrderingQueueTooLong: the queries ahead of it in an ordering queue take too long.
	reasonOrderingQueueTooLong
	// reasonOverQuota: in overload, its tenant is over its quota.
	reasonOverQuota
	// reasonLateInOverload: in overload, it could only be late.
	reasonLateInOverload
	// reasonCannotFinish: by its own estimate it can't finish before its client timeout.
	reasonCannotFinish
	// reasonTooLarge: by its own estimate it exceeds the size limit of admission control.
	reasonTooLarge
	// reasonOverdue: it was queued past its shedDeadline.
	reasonOverdue
	// reasonAnswerDue: its client timeout, or this controller's shutdown, is imminent.
	reasonAnswerDue
	// reasonAttemptsExhausted: its last attempt failed, and no other is allowed.
	reasonAttemptsExhausted
)

var answerReasonNames = [...]string{
	noReason:                   "none",
	reasonArrivalWaitTooLong:   "arrival wait too long",
	reasonArrivalWaitShare:     "arrival wait too long, share rejected",
	reasonOrderingQueueTooLong: "ordering queue too long",
	reasonOverQuota:            "tenant over quota in overload",
	reasonLateInOverload:       "late in overload",
	reasonCannotFinish:         "cannot finish in time",
	reasonTooLarge:             "larger than the size limit",
	reasonOverdue:              "queued too long",
	reasonAnswerDue:            "client timeout or shutdown",
	reasonAttemptsExhausted:    "attempts exhausted",
}

func (reason answerReason) String() string { return answerReasonNames[reason] }

// waitReason is why a queued query may not start an attempt on any engine now. That no engine has
// capacity for it is not among these: selectEngine finds that out.
type waitReason int

const (
	// notWaiting: an attempt may start, if an engine is found.
	notWaiting waitReason = iota
	// waitOrdering: it is not at the head of the queue of each of its ordering keys, or a key is in
	// cooldown.
	waitOrdering
	// waitAnswered: it has its final answer, or its response has started.
	waitAnswered
	// waitOutcome: an attempt has no outcome yet.
	waitOutcome
	// waitAnswerDue: its final answer is due.
	waitAnswerDue
	// waitAttemptsExhausted: no further attempt is allowed.
	waitAttemptsExhausted
	// waitRetryBudget: the retry budget is used up.
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
