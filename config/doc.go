// Package config handles the declared configuration: teams, pools, services with
// their jobs, and waves. It decodes and validates a document, splits it into
// content-addressed sections, and publishes these under a head whose generation
// increases with each publication. It also keeps the configuration of this process up
// to date from the platform and from peers.
package config
