// Package simulation holds property tests that run routers and admission controllers
// together in virtual time, over a simulated network and simulated upstreams.
package simulation
