// Package fleet decides which pool each host is in and when it may be drained,
// rebooted or moved. Each data centre has one record in the platform's service
// with one row for each host, so that a host is in one pool by construction,
// and the check of a budget and the grant of a drain are one swap.
//
// Plan is pure: time, the record, the host list and what is idle are handed in.
// Coordinator and View feed it.
package fleet
