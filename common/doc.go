// Package common holds what every part of amberway shares: the verdict on a
// request, its class, the dependencies passed to constructors, logs with a
// fixed prefix, an HTTP client, rendezvous hashing and problem details.
package common
