package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Severity is how serious a Finding is.
type Severity string

// The severities of a Finding.
const (
	// SeverityError means that an entry can't work as published: requests are refused, the entry
	// never matches, or instances do not put the configuration in force.
	SeverityError Severity = "error"
	// SeverityWarning means that the configuration works, but probably not as intended.
	SeverityWarning Severity = "warning"
)

// EntryKind is the kind of an entry in a configuration.
type EntryKind string

// The kinds of entries.
const (
	EntryConfiguration EntryKind = "configuration"
	EntryRoute         EntryKind = "route"
	EntryService       EntryKind = "service"
	EntryLimits        EntryKind = "limits"
	EntryCollection    EntryKind = "collection"
	EntryRequestKind   EntryKind = "kind"
)

// ConfigurationField identifies a field of an entry. Its name in a document depends on the format.
type ConfigurationField string

// The fields of entries.
const (
	FieldNone          ConfigurationField = ""
	FieldVersion       ConfigurationField = "version"
	FieldName          ConfigurationField = "name"
	FieldServices      ConfigurationField = "services"
	FieldHost          ConfigurationField = "host"
	FieldPathPrefix    ConfigurationField = "pathPrefix"
	FieldDestinations  ConfigurationField = "destinations"
	FieldShards        ConfigurationField = "shards"
	FieldKind          ConfigurationField = "kind"
	FieldTimeout       ConfigurationField = "timeout"
	FieldObjective     ConfigurationField = "objective"
	FieldMaxAttempts   ConfigurationField = "maxAttempts"
	FieldPriority      ConfigurationField = "priority"
	FieldTopK          ConfigurationField = "topK"
	FieldMinCoverage   ConfigurationField = "minCoverage"
	FieldConnections   ConfigurationField = "connections"
	FieldHealthPath    ConfigurationField = "healthPath"
	FieldSlots         ConfigurationField = "slots"
	FieldUpstreams     ConfigurationField = "upstreams"
	FieldMaxInstances  ConfigurationField = "maxInstances"
	FieldSnapshots     ConfigurationField = "snapshots"
	FieldMode          ConfigurationField = "mode"
	FieldCloseAfter    ConfigurationField = "closeAfter"
	FieldHeaderBytes   ConfigurationField = "headerBytes"
	FieldBodyBytes     ConfigurationField = "bodyBytes"
	FieldHeaderTimeout ConfigurationField = "headerTimeout"
	FieldIdleTimeout   ConfigurationField = "idleTimeout"
)

// Place is a place in a configuration. Name is empty for an entry of which there is one.
type Place struct {
	Kind  EntryKind
	Name  string
	Field ConfigurationField
}

// Finding is a problem in a configuration.
type Finding struct {
	Severity    Severity
	Place       Place
	Problem     string
	Consequence string
}

// AcceptedLimits are the largest limits for callers that an instance honours.
type AcceptedLimits CallerLimits

// configurationRules are the rules for a whole configuration, and routeRules and serviceRules those
// for one entry of it.
var (
	configurationRules = []func(Configuration) []Finding{
		findShadowedRoutes, findRepeatedServices, findUndefinedServices, findUnusedServices,
	}
	routeRules = []func(Route) []Finding{
		findPrefixProblems, findMissingHost, findDestinationProblems, findWeightProblems, findRepeatedShards,
		findTimeoutProblems, findObjectiveProblems, findImpossibleAttempts, findCoverageProblems, findMissingTopK,
	}
	serviceRules = []func(Service) []Finding{findConnectionProblems, findHealthPathProblems}
)

// CheckConfiguration returns the problems in a configuration, errors first.
func CheckConfiguration(configuration Configuration, accepted AcceptedLimits) []Finding {
	var findings []Finding
	for _, rule := range configurationRules {
		findings = append(findings, rule(configuration)...)
	}
	for _, route := range configuration.Routes {
		for _, rule := range routeRules {
			findings = append(findings, rule(route)...)
		}
	}
	if len(configuration.Routes) > 0 {
		for _, service := range configuration.Services {
			for _, rule := range serviceRules {
				findings = append(findings, rule(service)...)
			}
		}
		findings = append(findings, findLimitProblems(configuration.Limits, accepted)...)
	}
	SortFindings(findings)
	return findings
}

// SortFindings moves errors to the front.
func SortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
}

// CheckVersion returns the problems of a configuration that is to replace the one in force.
func CheckVersion(next, current Configuration) []Finding {
	place := Place{Kind: EntryConfiguration, Field: FieldVersion}
	switch {
	case next.Version > current.Version:
		return nil
	case next.Version < current.Version:
		return []Finding{{SeverityError, place,
			fmt.Sprintf("version %d is lower than version %d, which is in force", next.Version, current.Version),
			"instances keep the one in force"}}
	case next.Digest == current.Digest:
		return []Finding{{SeverityWarning, place, fmt.Sprintf("version %d is the one in force", next.Version), "nothing changes"}}
	}
	return []Finding{{SeverityError, place,
		fmt.Sprintf("version %d is in force with other contents", next.Version),
		"a conflict: instances keep the one with the higher digest, " + higherDigest(next, current)}}
}

// higherDigest says which of two configurations of the same version is kept.
func higherDigest(next, current Configuration) string {
	if next.Newer(current) {
		return "which is the new one"
	}
	return "which is the one in force"
}

// findShadowedRoutes finds routes with the host and prefix of an earlier one. Of several routes, the
// one with the longest prefix matches, so no other route can be shadowed.
func findShadowedRoutes(configuration Configuration) []Finding {
	type key struct{ host, prefix string }
	first := map[key]string{}
	var findings []Finding
	for _, route := range configuration.Routes {
		k := key{strings.ToLower(route.Host), route.PathPrefix}
		if shadowing, ok := first[k]; ok {
			findings = append(findings, Finding{SeverityError, routePlace(route, FieldPathPrefix),
				fmt.Sprintf("route %q has the same host and prefix and comes first", shadowing), "this route never matches"})
			continue
		}
		first[k] = route.Name
	}
	return findings
}

// findRepeatedServices finds services that are defined more than once.
func findRepeatedServices(configuration Configuration) []Finding {
	seen := NewSet[string]()
	var findings []Finding
	for _, service := range configuration.Services {
		if seen.Has(service.Name) {
			findings = append(findings, Finding{SeverityError, servicePlace(service, FieldName),
				"the service is defined more than once", "only one of the definitions takes effect"})
		}
		seen.Add(service.Name)
	}
	return findings
}

// findUndefinedServices finds routes to services that are not defined.
func findUndefinedServices(configuration Configuration) []Finding {
	var findings []Finding
	for _, route := range configuration.Routes {
		reported := NewSet[string]()
		for _, name := range route.Services() {
			if _, ok := configuration.Service(name); ok || reported.Has(name) {
				continue
			}
			reported.Add(name)
			finding := Finding{SeverityError, routePlace(route, FieldDestinations),
				fmt.Sprintf("service %q is not defined", name), "requests to it are refused with status 503"}
			if slices.Contains(route.Shards, name) {
				finding.Place.Field, finding.Consequence = FieldShards, "this shard is missing in every answer"
			}
			findings = append(findings, finding)
		}
	}
	return findings
}

// findUnusedServices finds services that no route and no partition refers to.
func findUnusedServices(configuration Configuration) []Finding {
	used := NewSet[string]()
	for _, route := range configuration.Routes {
		used = used.Union(NewSet(route.Services()...))
	}
	for _, collection := range configuration.Collections {
		for _, snapshot := range collection.Snapshots {
			for _, partition := range snapshot.Partitions {
				used.Add(partition.Service)
			}
		}
	}
	var findings []Finding
	for _, service := range configuration.Services {
		if !used.Has(service.Name) {
			findings = append(findings, Finding{SeverityWarning, servicePlace(service, FieldNone),
				"nothing refers to the service", "it gets no requests"})
		}
	}
	return findings
}

// findPrefixProblems finds prefixes that match no path, or more paths than they seem to.
func findPrefixProblems(route Route) []Finding {
	place, prefix := routePlace(route, FieldPathPrefix), route.PathPrefix
	switch {
	case prefix == "":
		return []Finding{{SeverityWarning, place, "the prefix is empty", "the route matches every path of the host that no other route matches"}}
	case !strings.HasPrefix(prefix, "/"):
		return []Finding{{SeverityError, place, fmt.Sprintf("the prefix %q does not begin with a slash", prefix), "the route never matches"}}
	case strings.ContainsAny(prefix, "?#"):
		return []Finding{{SeverityError, place, fmt.Sprintf("the prefix %q is longer than a path", prefix), "the route never matches, as paths are compared without their query"}}
	case !strings.HasSuffix(prefix, "/"):
		return []Finding{{SeverityWarning, place, fmt.Sprintf("the prefix %q does not end with a slash", prefix), fmt.Sprintf("it also matches %q", prefix+"x")}}
	}
	return nil
}

// findMissingHost finds routes without a host.
func findMissingHost(route Route) []Finding {
	if route.Host != "" {
		return nil
	}
	return []Finding{{SeverityError, routePlace(route, FieldHost), "the host is empty", "the route matches only requests without a host"}}
}

// findDestinationProblems finds routes with no service, or with destinations beside shards.
func findDestinationProblems(route Route) []Finding {
	switch {
	case len(route.Services()) == 0:
		return []Finding{{SeverityError, routePlace(route, FieldDestinations), "the route names no service", "its requests are refused with status 503"}}
	case route.Scattered() && len(route.Destinations) > 0:
		return []Finding{{SeverityError, routePlace(route, FieldDestinations), "the route has both shards and a destination", "requests go to the shards only"}}
	}
	return nil
}

// findWeightProblems finds weights that do not divide the requests.
func findWeightProblems(route Route) []Finding {
	place, total := routePlace(route, FieldDestinations), 0.0
	for _, d := range route.Destinations {
		if d.Weight < 0 || math.IsNaN(d.Weight) || math.IsInf(d.Weight, 0) {
			return []Finding{{SeverityError, place, fmt.Sprintf("the weight %v of %q is not a number from 0", d.Weight, d.Service), "the shares of all parts are wrong"}}
		}
		total += d.Weight
	}
	if len(route.Destinations) > 0 && total == 0 {
		last := route.Destinations[len(route.Destinations)-1]
		return []Finding{{SeverityError, place, "the weight of all parts is 0", fmt.Sprintf("all requests go to %q, the last part", last.Service)}}
	}
	return nil
}

// findRepeatedShards finds shards that a route names twice.
func findRepeatedShards(route Route) []Finding {
	seen := NewSet[string]()
	for _, name := range route.Shards {
		if seen.Has(name) {
			return []Finding{{SeverityError, routePlace(route, FieldShards), fmt.Sprintf("shard %q is named more than once", name), "its records are merged twice"}}
		}
		seen.Add(name)
	}
	return nil
}

// findTimeoutProblems finds timeouts that leave no time for an upstream.
func findTimeoutProblems(route Route) []Finding {
	if route.Timeout > ReplyMarginMillis {
		return nil
	}
	return []Finding{{SeverityError, routePlace(route, FieldTimeout),
		fmt.Sprintf("the timeout of %s is not longer than %s, the time that is reserved for the answer", millisText(route.Timeout), millisText(ReplyMarginMillis)),
		"all requests are refused"}}
}

// findObjectiveProblems finds latency objectives that can't be met or that contradict the timeout.
func findObjectiveProblems(route Route) []Finding {
	place := routePlace(route, FieldObjective)
	least := Millis(0)
	if route.Scattered() {
		least = CloseMarginMillis
	}
	switch {
	case route.Objective <= least:
		return []Finding{{SeverityError, place,
			fmt.Sprintf("the target latency of %s is not longer than %s", millisText(route.Objective), millisText(least)),
			"requests that would have to wait are refused or lack shards"}}
	case route.Objective > route.Timeout:
		return []Finding{{SeverityWarning, place,
			fmt.Sprintf("the target latency of %s is longer than the timeout of %s", millisText(route.Objective), millisText(route.Timeout)),
			"the timeout ends requests before the target is missed"}}
	}
	return nil
}

// findImpossibleAttempts finds routes with more attempts than are made. A request that may run only
// once is not repeated unless it has certainly not run.
func findImpossibleAttempts(route Route) []Finding {
	possible, reason := MaxArrivals, "an instance makes no more for one request"
	if !route.Idempotent {
		possible, reason = 1, "the requests may run only once"
	}
	if route.MaxAttempts <= possible {
		return nil
	}
	return []Finding{{SeverityWarning, routePlace(route, FieldMaxAttempts),
		fmt.Sprintf("%d attempts are more than the %d that are possible: %s", route.MaxAttempts, possible, reason),
		fmt.Sprintf("at most %d are made", possible)}}
}

// findCoverageProblems finds minimum coverages that no answer, or only a complete one, has.
func findCoverageProblems(route Route) []Finding {
	if !route.Scattered() {
		return nil
	}
	place := routePlace(route, FieldMinCoverage)
	switch {
	case route.MinCoverage > 1:
		return []Finding{{SeverityError, place, fmt.Sprintf("a minimum coverage of %v is above 1", route.MinCoverage), "all requests are refused"}}
	case route.MinCoverage <= 0 || math.IsNaN(route.MinCoverage):
		return []Finding{{SeverityError, place, fmt.Sprintf("a minimum coverage of %v is not above 0", route.MinCoverage), "an answer with one shard counts as a success"}}
	case len(route.Shards) > 1 && route.MinShards() == len(route.Shards):
		return []Finding{{SeverityWarning, place,
			fmt.Sprintf("a minimum coverage of %v of %d shards allows no missing shard", route.MinCoverage, len(route.Shards)),
			"requests are refused while a single shard can't be reached"}}
	}
	return nil
}

// findMissingTopK finds routes whose merged answers hold no records.
func findMissingTopK(route Route) []Finding {
	if !route.Scattered() || route.TopK > 0 {
		return nil
	}
	return []Finding{{SeverityError, routePlace(route, FieldTopK), fmt.Sprintf("the number of records is %d", route.TopK), "all answers are empty"}}
}

// findConnectionProblems finds services whose upstreams may not be connected to.
func findConnectionProblems(service Service) []Finding {
	if service.Connections > 0 {
		return nil
	}
	return []Finding{{SeverityWarning, servicePlace(service, FieldConnections),
		fmt.Sprintf("the number of connections is %d", service.Connections), "each instance opens one connection to each upstream"}}
}

// findHealthPathProblems finds health checks that no upstream can answer.
func findHealthPathProblems(service Service) []Finding {
	if strings.HasPrefix(service.HealthPath, "/") {
		return nil
	}
	return []Finding{{SeverityError, servicePlace(service, FieldHealthPath),
		fmt.Sprintf("the path %q of the health check does not begin with a slash", service.HealthPath),
		"upstreams that lost a connection do not return to use"}}
}

// findLimitProblems finds limits for callers that are not in force as published.
func findLimitProblems(limits CallerLimits, accepted AcceptedLimits) []Finding {
	var findings []Finding
	add := func(severity Severity, field ConfigurationField, problem, consequence string) {
		findings = append(findings, Finding{severity, Place{Kind: EntryLimits, Field: field}, problem, consequence})
	}
	for _, size := range []struct {
		field          ConfigurationField
		value, maximum int
		inForce        int
	}{
		{FieldHeaderBytes, limits.HeaderBytes, accepted.HeaderBytes, accepted.HeaderBytes},
		{FieldBodyBytes, limits.BodyBytes, accepted.BodyBytes, MaxBodyBytes},
	} {
		switch {
		case size.value <= 0:
			add(SeverityWarning, size.field, fmt.Sprintf("the limit is %d bytes", size.value), fmt.Sprintf("a limit of %d bytes is in force instead", size.inForce))
		case size.value > size.maximum:
			add(SeverityError, size.field, fmt.Sprintf("%d bytes are more than the %d that an instance accepts", size.value, size.maximum),
				"requests within the published limit can fail")
		}
	}
	for _, timeout := range []struct {
		field          ConfigurationField
		value, maximum Millis
	}{
		{FieldHeaderTimeout, limits.HeaderTimeout, accepted.HeaderTimeout},
		{FieldIdleTimeout, limits.IdleTimeout, accepted.IdleTimeout},
	} {
		if timeout.value > timeout.maximum {
			add(SeverityError, timeout.field, fmt.Sprintf("%s are more than the %s after which an instance closes a connection", millisText(timeout.value), millisText(timeout.maximum)),
				"connections of callers within the published limit are closed")
		}
	}
	return findings
}

func routePlace(route Route, field ConfigurationField) Place {
	return Place{Kind: EntryRoute, Name: route.Name, Field: field}
}

func servicePlace(service Service, field ConfigurationField) Place {
	return Place{Kind: EntryService, Name: service.Name, Field: field}
}

// millisText returns a duration as text: in seconds if it is a whole number of them.
func millisText(m Millis) string {
	if m%Second == 0 && m != 0 {
		return fmt.Sprintf("%d s", m/Second)
	}
	return fmt.Sprintf("%d ms", m)
}
