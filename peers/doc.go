// Package peers implements the membership of the entry hosts: which of them are alive,
// suspected, dead or have left. Each process probes one other per period and sends
// membership news along with the probes, so that the number of its messages per second
// does not grow with the number of entry hosts. The protocol is SWIM (Das, Gupta and
// Motivala, 2002).
package peers
