package core

import (
	"fmt"
	"slices"
	"strings"
)

// Difference describes how an entry of a configuration differs from the one in force.
type Difference struct {
	Place Place
	Text  string
}

// describedField is a field of an entry in words. items is set instead of text if the value is a
// list.
type describedField struct {
	field ConfigurationField
	label string
	text  string
	items []string
}

// describedEntry is an entry of a configuration in words. effect describes what the entry does as a
// whole, for entries that are added or removed.
type describedEntry struct {
	place  Place
	effect string
	fields []describedField
}

// CompareConfigurations returns the differences of a configuration from the one in force. Entries
// are compared by name.
func CompareConfigurations(current, next Configuration) []Difference {
	var differences []Difference
	for _, describe := range []func(Configuration) []describedEntry{
		describeGeneral, describeServices, describeRoutes, describeCollections, describeKinds,
	} {
		differences = append(differences, compareEntries(describe(current), describe(next))...)
	}
	for i, difference := range differences {
		differences[i].Text += removedRouteEffect(difference.Place, current, next)
	}
	return differences
}

// removedRouteEffect returns what happens to the requests of a route that is removed, or an empty
// string for another place.
func removedRouteEffect(place Place, current, next Configuration) string {
	isPlace := func(r Route) bool { return routePlace(r, FieldNone) == place }
	removed, existed := find(current.Routes, isPlace)
	if _, exists := find(next.Routes, isPlace); !existed || exists {
		return ""
	}
	if other, ok := NewRouteTable(next).Match(removed.Host, removed.PathPrefix); ok {
		return fmt.Sprintf("; they match route %q now", other.Name)
	}
	return "; they get status 404 now"
}

// compareEntries compares the entries of one kind.
func compareEntries(current, next []describedEntry) []Difference {
	var differences []Difference
	for _, entry := range next {
		before, ok := findEntry(current, entry.place)
		if !ok {
			differences = append(differences, Difference{entry.place, "added: " + entry.effect})
			continue
		}
		differences = append(differences, compareFields(before, entry)...)
	}
	for _, entry := range current {
		if _, ok := findEntry(next, entry.place); !ok {
			differences = append(differences, Difference{entry.place, "removed: " + entry.effect})
		}
	}
	return differences
}

func findEntry(entries []describedEntry, place Place) (describedEntry, bool) {
	return find(entries, func(e describedEntry) bool { return e.place == place })
}

// compareFields compares two entries with the same fields.
func compareFields(before, after describedEntry) []Difference {
	var differences []Difference
	for i, field := range after.fields {
		text := compareField(before.fields[i], field)
		if text == "" {
			continue
		}
		place := after.place
		place.Field = field.field
		differences = append(differences, Difference{place, field.label + " " + text})
	}
	return differences
}

// compareField describes the difference between two values of a field. It returns an empty string
// if there is none.
func compareField(before, after describedField) string {
	if before.text != after.text {
		return fmt.Sprintf("changes from %s to %s", before.text, after.text)
	}
	added, removed := NewSet(after.items...).minus(NewSet(before.items...)), NewSet(before.items...).minus(NewSet(after.items...))
	var parts []string
	if len(added) > 0 {
		parts = append(parts, "added: "+strings.Join(added, ", "))
	}
	if len(removed) > 0 {
		parts = append(parts, "removed: "+strings.Join(removed, ", "))
	}
	if len(parts) == 0 && !slices.Equal(before.items, after.items) {
		return "come in another order or number"
	}
	return strings.Join(parts, "; ")
}

func describeGeneral(c Configuration) []describedEntry {
	l := c.Limits
	return []describedEntry{
		{place: Place{Kind: EntryConfiguration}, fields: []describedField{
			{FieldVersion, "the version", fmt.Sprint(c.Version), nil},
			{FieldMaxInstances, "the largest number of instances", fmt.Sprint(c.MaxInstances), nil},
		}},
		{place: Place{Kind: EntryLimits}, fields: []describedField{
			{FieldHeaderBytes, "the largest header of a request", fmt.Sprintf("%d bytes", l.HeaderBytes), nil},
			{FieldBodyBytes, "the largest body of a request", fmt.Sprintf("%d bytes", l.BodyBytes), nil},
			{FieldHeaderTimeout, "the time that a caller has for a header", millisText(l.HeaderTimeout), nil},
			{FieldIdleTimeout, "the time that a caller's connection may be idle", millisText(l.IdleTimeout), nil},
		}},
	}
}

func describeServices(c Configuration) []describedEntry {
	var entries []describedEntry
	for _, s := range c.Services {
		upstreams := make([]string, 0, len(s.Upstreams))
		for _, u := range s.Upstreams {
			upstreams = append(upstreams, fmt.Sprintf("%s at %s in zone %s", u.Name, u.Address, u.Zone))
		}
		entries = append(entries, describedEntry{
			place:  servicePlace(s, FieldNone),
			effect: fmt.Sprintf("a service whose upstreams accept %d connections each", s.Connections),
			fields: []describedField{
				{FieldConnections, "the connections to each upstream", fmt.Sprint(s.Connections), nil},
				{FieldHealthPath, "the path of the health check", fmt.Sprintf("%q", s.HealthPath), nil},
				{FieldSlots, "the requests that an upstream runs at once", fmt.Sprint(s.Slots), nil},
				{FieldUpstreams, "upstreams", "", upstreams},
			},
		})
	}
	return entries
}

func describeRoutes(c Configuration) []describedEntry {
	var entries []describedEntry
	for _, r := range c.Routes {
		entries = append(entries, describedEntry{
			place:  routePlace(r, FieldNone),
			effect: fmt.Sprintf("requests to %s%s go to %s", r.Host, r.PathPrefix, destinationText(r)),
			fields: routeFields(r),
		})
	}
	return entries
}

func routeFields(r Route) []describedField {
	repeats := "may run only once"
	if r.Idempotent {
		repeats = "may run more than once"
	}
	destinations := destinationText(r)
	if r.Scattered() {
		destinations = "all shards"
	}
	return []describedField{
		{FieldHost, "the host", r.Host, nil},
		{FieldPathPrefix, "the path prefix", r.PathPrefix, nil},
		{FieldDestinations, "the destination", destinations, nil},
		{FieldShards, "shards", "", r.Shards},
		{FieldKind, "what is allowed for a request", repeats, nil},
		{FieldTimeout, "the longest time that a caller waits", millisText(r.Timeout), nil},
		{FieldObjective, "the target latency", millisText(r.Objective), nil},
		{FieldMaxAttempts, "the largest number of attempts at one service", fmt.Sprint(r.MaxAttempts), nil},
		{FieldPriority, "the priority, of which 0 is the lowest,", fmt.Sprint(r.Priority), nil},
		{FieldTopK, "the largest number of records in an answer", fmt.Sprint(r.TopK), nil},
		{FieldMinCoverage, "the share of the shards that an answer must have", percentText(r.MinCoverage), nil},
	}
}

// destinationText describes where the requests of a route go.
func destinationText(r Route) string {
	if r.Scattered() {
		return fmt.Sprintf("all %d shards", len(r.Shards))
	}
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	var parts []string
	for _, d := range r.Destinations {
		part := d.Service
		if len(r.Destinations) > 1 && total > 0 {
			part = fmt.Sprintf("%s (%s)", d.Service, percentText(d.Weight/total))
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return "no service"
	}
	return strings.Join(parts, ", ")
}

func percentText(share float64) string {
	return fmt.Sprintf("%.4g%%", 100*share)
}

func describeCollections(c Configuration) []describedEntry {
	var entries []describedEntry
	for _, collection := range c.Collections {
		var snapshots []string
		for _, s := range collection.Snapshots {
			snapshots = append(snapshots, fmt.Sprintf("%d with %s", s.ID, partitionsText(s)))
		}
		entries = append(entries, describedEntry{
			place:  Place{Kind: EntryCollection, Name: collection.Name},
			effect: fmt.Sprintf("a collection with %d snapshots and %d request kinds", len(collection.Snapshots), len(collection.Kinds)),
			fields: []describedField{{FieldSnapshots, "snapshots", "", snapshots}},
		})
	}
	return entries
}

// partitionsText lists the services of a snapshot with the ends of their key ranges.
func partitionsText(s Snapshot) string {
	parts := make([]string, 0, len(s.Partitions))
	for _, p := range s.Partitions {
		parts = append(parts, fmt.Sprintf("%s up to %d", p.Service, p.Range.End))
	}
	return strings.Join(parts, " and ")
}

func describeKinds(c Configuration) []describedEntry {
	var entries []describedEntry
	for _, collection := range c.Collections {
		for _, k := range collection.Kinds {
			entries = append(entries, describedEntry{
				place:  Place{Kind: EntryRequestKind, Name: collection.Name + "/" + k.Name},
				effect: fmt.Sprintf("requests of mode %s with a timeout of %s", k.Mode, millisText(k.Timeout)),
				fields: []describedField{
					{FieldMode, "the mode", string(k.Mode), nil},
					{FieldTimeout, "the timeout", millisText(k.Timeout), nil},
					{FieldCloseAfter, "the time after which an answer is sent without missing shards", millisText(k.CloseAfter), nil},
					{FieldMinCoverage, "the coverage below which an answer is insufficient", percentText(k.MinCoverage), nil},
					{FieldPriority, "the priority", fmt.Sprint(k.Priority), nil},
				},
			})
		}
	}
	return entries
}
