// Package replay holds tests that run dispatchers before modelled engines, in virtual time
// and under the load of a site.
package replay
