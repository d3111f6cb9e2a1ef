// Package liveness decides whether the process of a target still runs, after one of its connections has ended.
//
// The kernel closes the connections of a process that was killed one after the other, as at the end of a response, and
// its listening socket among them, so that for a while new connections still open. How long that takes grows with the
// number of sockets and with the memory of the process. Therefore only a response to a request that was sent after the
// end shows that the process is alive, and only a refused connection that it has ended. A connection that closes without
// a response shows neither, and is followed by another one.
//
// A connection may also be refused on a path that was cut. A refusal counts only if a witness, a process that is reached
// by the same path, accepts connections. The kernel of the witness's box accepts them, so that a witness that is
// ending proves the path too. If the first witness has ended as well, the next one is asked.
//
// A Check is a state machine without I/O for all callers that ask about one process at a time. It is not safe for
// concurrent use.
//
// # Usage
//
//	c := liveness.NewCheck(witnesses)
//	c.Join(id, end)                 // end is the Moment at which the caller observed the end of a connection
//	switch cmd := c.Next(now).(type) {
//	case liveness.Ask:              // send a health check, and report what became of it
//		c.Responded(sent)           // or Refused, Closed, NoConnection, Replaced
//	case liveness.AskWitness:       // connect to cmd.Address
//		c.WitnessAnswered(accepted)
//	case liveness.Pause:            // call Next again at cmd.Until
//	case liveness.Finish:           // no caller is waiting
//	}
//	for _, r := range c.Results() { ... } // of callers whose question is settled
package liveness
