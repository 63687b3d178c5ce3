// Package admin implements the operators' API, which is JSON over HTTP on a listener of
// its own and needs a bearer token, and the client that the command-line tool uses.
package admin
