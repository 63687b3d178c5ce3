// Package peers keeps the table of entry hosts: who is alive, who is suspected
// and who has gone. Each process probes one other a period and hands news on
// with the probes, so that its messages a second do not grow with the number of
// entry hosts. The method is that of SWIM (Das, Gupta and Motivala, 2002).
package peers
