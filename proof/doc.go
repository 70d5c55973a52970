// Package proof tests the guarantees of the system under failure. The tests run whole
// deployments as separate processes, cause failures, and compare the answers that
// callers received with the runs that the upstreams recorded in their ledgers.
package proof
