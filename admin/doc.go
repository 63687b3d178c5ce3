// Package admin is the operators' interface: HTTP with JSON on a listener of
// its own, behind bearer tokens, and the client that the command-line tool
// uses.
package admin
