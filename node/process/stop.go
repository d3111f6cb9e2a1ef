package process

import (
	"time"

	"clovertrail.dev/shutdown"
)

// StopMargin is the time between the end of a planned stop and the moment at which the platform would
// kill the process.
const StopMargin = 500 * time.Millisecond

// Stop is the platform's request to stop the process.
type Stop struct {
	requested chan struct{}
	signal    shutdown.Signal // written before requested is closed
}

// NewStop returns a Stop that is not requested yet.
func NewStop() *Stop { return &Stop{requested: make(chan struct{})} }

// Request requests the stop because of the signal. It must be called once at most.
func (s *Stop) Request(signal shutdown.Signal) {
	s.signal = signal
	close(s.requested)
}

// Requested returns a channel that is closed when the stop is requested.
func (s *Stop) Requested() <-chan struct{} { return s.requested }

// Signal returns the signal to stop. It must not be called before the stop is requested.
func (s *Stop) Signal() shutdown.Signal { return s.signal }
