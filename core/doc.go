// Package core holds the domain and the decisions of an entry instance: which
// snapshot a query uses, what an answer covers, which upstream gets the work and
// when, which configuration is in force, and what instances tell each other. Its
// interfaces are implemented by the packages under io.
package core
