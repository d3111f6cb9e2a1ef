package gateway

import (
	"fmt"

	"clovertrail.dev/retry"
)

// describe returns the text of a retry.Outcome or a retry.Command for a log line. Package cli/logs
// reads these texts; it takes the part after the first ": " as the error of the attempt.
func describe(x any) string {
	switch x := x.(type) {
	case retry.Answered:
		return "answered"
	case retry.NotSent:
		return "unreached: " + x.Err.Error()
	case retry.Declined:
		return "declined: " + x.Err.Error()
	case retry.Failed:
		return fmt.Sprintf("failed with %d", x.Status)
	case retry.Lost:
		return "lost: " + x.Err.Error()
	case retry.FirstByteTimedOut:
		return "silent"
	case retry.Broken:
		return "broken: " + x.Err.Error()
	case retry.Suspected:
		return "suspected: " + x.Err.Error()
	case retry.Moved:
		return "moved"
	case retry.Expired:
		return "expired"
	case retry.Try:
		return "try again"
	case retry.Refuse:
		return "refuse as " + string(x.Err.Kind())
	case retry.Abort:
		return "break off as " + string(x.Err.Kind())
	default:
		return fmt.Sprintf("%T", x)
	}
}
