package process

import "time"

// StopMargin is the time between the end of a planned stop and the moment at which the platform would
// kill the process.
const StopMargin = 500 * time.Millisecond
