// Package core implements the domain logic of an entry instance, independent of network
// and files: the choice of the snapshot for a query, the coverage of an answer, load
// balancing and admission control, the configuration in force, and the messages that
// instances exchange. Its interfaces are implemented by the packages under io.
package core
