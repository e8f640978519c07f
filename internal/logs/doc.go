// Package logs writes the daemon's log lines: its API is log/slog, and zerolog encodes the lines.
// Format, level and rate limit come from the block "log" of the operator's file; Configure changes
// them while the process runs.
//
// Lines are rate-limited by kind, that is by level and message, so that an outage that repeats one
// message a thousand times does not hide the one line that names its cause. Dropped lines are
// counted, and the next line of their kind has the count in the attribute "dropped"; the count is
// lost if no such line follows. The number of kinds with a limit of their own is bounded; further
// kinds share one limit.
//
// A failed write is ignored, as there is nowhere to report it. Any goroutine may call all
// functions.
package logs
