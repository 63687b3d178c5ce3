// Package request handles a request from its arrival to its verdict: it admits or refuses
// it, claims its id if it may run at most once, queues it, picks a target, forwards it
// there and returns the answer.
//
// Scheduler and ClaimLog are pure: the caller passes the time in, and they do no I/O.
// Server, Claimer and Forwarder drive them.
package request
