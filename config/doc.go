// Package config holds what operators declare: teams, pools, services with
// their jobs, and waves. It decodes and checks a document, divides it into
// sections that are named by their content, publishes them under a head whose
// generation only grows, and follows that head wherever it can be learned.
package config
