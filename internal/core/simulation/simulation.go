// Package proof holds the property tests that drive routers and gates together
// in virtual time, over a small fake of the network and the upstreams.
package simulation
