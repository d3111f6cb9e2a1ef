// Package domain defines the basic types of the system: the names of its objects, targets and
// their ranks in groups, and the validation of a target when it is decoded.
//
// A Target returned by its constructor is valid; code that receives one does not
// validate it again. Fields are read through accessors.
//
// # Usage
//
//	t, err := domain.NewTarget(fields)
//	if err != nil {
//		return err // a *fault.Error of kind fault.InvalidObject naming the field
//	}
//	rank, grouped := t.Rank()
package domain
