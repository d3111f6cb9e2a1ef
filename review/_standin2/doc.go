// Command _standin2 is the stand-ins of the review's scripts and the scripts themselves: the platform's store,
// workers as processes of their own, clients, and one scenario for each case.
//
//	standin2 case NAME RECORD      plays a case and writes what happened to the file RECORD
//	standin2 worker OPTIONS        serves as a worker until its input ends
package main
