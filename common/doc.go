// Package common holds what every part of amberway shares: the verdict on a
// request, its class, the dependencies handed down at construction, logs with
// a fixed prefix, rendezvous ranking and problem details.
package common
