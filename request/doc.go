// Package request takes a request from its acceptance to its verdict: it
// admits or refuses it, claims it where it may not be repeated, queues it,
// picks a target, runs it there and answers.
//
// Scheduler, Health and ClaimLog are pure: time is handed in, and they do no
// I/O. Server, Claimer and Forwarder feed them.
package request
