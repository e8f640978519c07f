// Package logs writes the daemon's log lines: log/slog in front, zerolog behind. Format, level and
// rate limit come from the block "log" of the operator's file and may change while the process
// runs.
//
// Lines are rate-limited by kind, that is by level and message, so that an outage that repeats one
// message a thousand times does not hide the one line that tells its cause. Dropped lines are
// counted, and the next line of their kind has the count in the attribute "dropped".
//
// A line that can't be written is lost without an error, as there is nowhere to report it. All
// functions may be called from any goroutine. The loop that takes decisions does not log.
package logs
