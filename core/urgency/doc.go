// Package urgency ranks the requests of a service: the priority of the organisation goes before the
// priority of the route. Whatever decides under load which of several requests goes first, or which is
// refused, compares their classes.
//
// The classes of a service are the different pairs of priorities in its configuration, numbered from 0
// (most urgent) without gaps. A service with one class treats all requests alike.
//
// # Usage
//
//	classes := urgency.NewClasses([]urgency.Priorities{{Organisation: 1, Route: 0}, {Organisation: 1, Route: 2}})
//	class := classes.Of(urgency.Priorities{Organisation: 1, Route: 2}) // rank 1 of 2
//	if level, ok := class.Level(); ok {
//		// ask the target to run the request at this level
//	}
package urgency
