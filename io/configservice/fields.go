package configservice

import (
	"errors"

	"acaciavane/core"
	"acaciavane/io/jsondoc"
)

// fieldNames are the names of the fields of a configuration where they differ from those of package
// core.
var fieldNames = map[core.ConfigurationField]string{
	core.FieldTimeout:     "timeoutMillis",
	core.FieldCloseAfter:  "closeAfterMillis",
	core.FieldMinCoverage: "leastCoverage",
}

// FieldName returns the name of a field of a configuration.
func FieldName(field core.ConfigurationField) string {
	if name, ok := fieldNames[field]; ok {
		return name
	}
	return string(field)
}

// Findings returns the errors of Decoder.ConfigurationFile as findings. It returns none if the
// document is malformed as a whole.
func Findings(err error) []core.Finding {
	var findings []core.Finding
	for _, failure := range fieldErrors(err) {
		findings = append(findings, core.Finding{
			Severity:    core.SeverityError,
			Place:       core.Place{Kind: core.EntryConfiguration, Field: core.ConfigurationField(failure.Path)},
			Problem:     failure.Error(),
			Consequence: "instances refuse the configuration",
		})
	}
	return findings
}

// fieldErrors returns all errors in the tree of err that concern fields of a document.
func fieldErrors(err error) []*jsondoc.Error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var failures []*jsondoc.Error
		for _, inner := range joined.Unwrap() {
			failures = append(failures, fieldErrors(inner)...)
		}
		return failures
	}
	var failure *jsondoc.Error
	if errors.As(err, &failure) && failure.Path != jsondoc.PathDocument {
		return []*jsondoc.Error{failure}
	}
	return nil
}
