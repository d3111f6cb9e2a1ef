package process

import "time"

// StopMargin is how long before the platform kills a process it ends by itself.
const StopMargin = 500 * time.Millisecond
