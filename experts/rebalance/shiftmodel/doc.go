// Package shiftmodel simulates a group whose demand shifts, and the coordinator that reads the
// demand, plans maps and puts them in use, in order to compare ways to respond to a shift. Its
// figures are those of a model: steps and reads have fixed lengths apart from the skew, all orders
// arrive, and requests prefer experts independently of each other.
//
// # Usage
//
//	r := shiftmodel.Run(shiftmodel.Config{Shape: shape, Planner: planner, Estimator: estimate, Watch: true, Seed: 1, ...})
//	fmt.Println(r.Mean, r.After(300*time.Millisecond))
package shiftmodel
