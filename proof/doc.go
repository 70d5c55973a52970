// Package proof holds the proofs of the promises under failure. They run whole
// deployments as separate processes, cause the failures, and compare what
// callers were told with what the upstreams wrote into their ledgers.
package proof
