// Package fleet assigns hosts to pools and decides when a host may be drained,
// rebooted or moved to another pool. Each data centre has a single record in the
// platform's store, with one status per host. A host can therefore be in one pool
// only, and checking a disruption budget and granting a drain are one
// compare-and-swap.
//
// Plan is a pure function of the time, the configuration, the record, the host
// list and the idle hosts. Coordinator calls it with the state that View follows.
package fleet
