package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"acaciavane/core"
	"acaciavane/io/configservice"
	"acaciavane/io/peer"
	"acaciavane/platform"
)

// Exit codes of check --configuration, for use in scripts.
const (
	// ExitFindingsNone means that the configuration has no findings.
	ExitFindingsNone = 0
	// ExitFindingsWarnings means that all findings are warnings.
	ExitFindingsWarnings = 1
	// ExitFindingsErrors means that there are errors.
	ExitFindingsErrors = 2
	// ExitFindingsUnreadable means that a file can't be read.
	ExitFindingsUnreadable = 3
)

// acceptedLimits are the largest limits for callers that an instance honours. A body must fit into
// a message between two instances, together with the header of its request.
var acceptedLimits = core.AcceptedLimits{
	HeaderBytes:   maxCallerHeadBytes,
	BodyBytes:     peer.MaxMessageBytes - maxCallerHeadBytes,
	HeaderTimeout: core.Millis(readHeaderTimeout.Milliseconds()),
	IdleTimeout:   core.Millis(callerIdleTimeout.Milliseconds()),
}

// configurationFormat is the format of a configuration file.
type configurationFormat struct {
	name      string
	decode    func(file string, raw []byte) (core.Configuration, error)
	fieldName func(core.ConfigurationField) string
	// findings returns the errors of decode as findings, or none if the file can't be read.
	findings func(err error) []core.Finding
}

// platformFormat is the format of the users' platform, and ownFormat the one of this project.
var (
	platformFormat = &configurationFormat{
		name: "platform", fieldName: platform.FieldName, findings: platformFindings,
		decode: func(_ string, raw []byte) (core.Configuration, error) {
			return platform.NewDecoder().Configuration(raw)
		},
	}
	ownFormat = &configurationFormat{
		name: "own", fieldName: configservice.FieldName, findings: configservice.Findings,
		decode: configservice.NewDecoder().ConfigurationFile,
	}
)

func platformFindings(err error) []core.Finding {
	if !errors.Is(err, platform.ErrNoVersion) {
		return nil
	}
	return []core.Finding{{
		Severity: core.SeverityError, Place: core.Place{Kind: core.EntryConfiguration, Field: core.FieldVersion},
		Problem: "the configuration has no version", Consequence: "instances refuse the configuration",
	}}
}

// formatOf returns the format of a file. Only the project's own has collections, a deployment or a
// largest number of instances.
func formatOf(raw []byte) *configurationFormat {
	var probe struct {
		Collections  *json.RawMessage `json:"collections"`
		Deployment   *json.RawMessage `json:"deployment"`
		MaxInstances *json.RawMessage `json:"maxInstances"`
	}
	if json.Unmarshal(raw, &probe) == nil && (probe.Collections != nil || probe.Deployment != nil || probe.MaxInstances != nil) {
		return ownFormat
	}
	return platformFormat
}

// checkedFile is a configuration file that was read.
type checkedFile struct {
	format        *configurationFormat
	configuration core.Configuration
	// findings are set instead of configuration if the file has errors that keep it from being
	// decoded.
	findings []core.Finding
}

// readConfigurationFile reads a file. It returns an exitError if the file can't be read.
func readConfigurationFile(file string) (checkedFile, error) {
	unreadable := func(err error) (checkedFile, error) {
		return checkedFile{}, &exitError{code: ExitFindingsUnreadable, message: fmt.Sprintf("%s can't be read: %v", file, err)}
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return unreadable(err)
	}
	checked := checkedFile{format: formatOf(raw)}
	checked.configuration, err = checked.format.decode(file, raw)
	if err == nil {
		return checked, nil
	}
	if checked.findings = checked.format.findings(err); len(checked.findings) == 0 {
		return unreadable(err)
	}
	return checked, nil
}

// checkResult is the JSON form of the result of a check.
type checkResult struct {
	Findings    []findingBody    `json:"findings"`
	Differences []differenceBody `json:"differences"`
}

// placeBody is a place in a configuration. Kind is configuration, limits, route, service,
// collection or kind.
type placeBody struct {
	Kind  string `json:"kind"`
	Name  string `json:"name,omitempty"`
	Field string `json:"field,omitempty"`
}

type findingBody struct {
	Severity string `json:"severity"`
	placeBody
	Problem     string `json:"problem"`
	Consequence string `json:"consequence"`
}

type differenceBody struct {
	placeBody
	Text string `json:"text"`
}

func (f *configurationFormat) toPlace(place core.Place) placeBody {
	return placeBody{Kind: string(place.Kind), Name: place.Name, Field: f.fieldName(place.Field)}
}

// text returns the place as it is printed.
func (p placeBody) text() string {
	text := p.Kind
	if p.Name != "" {
		text += " " + p.Name
	}
	if p.Field != "" {
		text += ", " + p.Field
	}
	return text
}

// checkConfiguration checks a configuration file, compares it with the one in force unless against
// is empty, and prints the result.
func checkConfiguration(stdout io.Writer, options checkOptions) error {
	next, err := readConfigurationFile(options.configuration)
	if err != nil {
		return err
	}
	findings := next.findings
	if len(findings) == 0 {
		findings = core.CheckConfiguration(next.configuration, acceptedLimits)
	}
	var differences []core.Difference
	if options.against != "" {
		current, err := readCurrent(options.against, next.format)
		if err != nil {
			return err
		}
		if len(next.findings) == 0 {
			findings = append(findings, core.CheckVersion(next.configuration, current)...)
			differences = core.CompareConfigurations(current, next.configuration)
		}
	}
	core.SortFindings(findings)
	result := next.format.toResult(findings, differences)
	if err := result.print(stdout, options.json); err != nil {
		return err
	}
	if code := exitCodeOf(findings); code != ExitFindingsNone {
		return &exitError{code: code}
	}
	return nil
}

// readCurrent reads the file of the configuration in force, which must be valid and have the format.
func readCurrent(file string, format *configurationFormat) (core.Configuration, error) {
	current, err := readConfigurationFile(file)
	switch {
	case err != nil:
		return core.Configuration{}, err
	case len(current.findings) > 0:
		return core.Configuration{}, &exitError{code: ExitFindingsUnreadable, message: fmt.Sprintf("%s can't be in force: %s", file, current.findings[0].Problem)}
	case current.format != format:
		return core.Configuration{}, &exitError{code: ExitFindingsUnreadable, message: fmt.Sprintf("%s has the %s format, the new configuration the %s format",
			file, current.format.name, format.name)}
	}
	return current.configuration, nil
}

func (f *configurationFormat) toResult(findings []core.Finding, differences []core.Difference) checkResult {
	result := checkResult{Findings: []findingBody{}, Differences: []differenceBody{}}
	for _, finding := range findings {
		result.Findings = append(result.Findings, findingBody{
			Severity: string(finding.Severity), placeBody: f.toPlace(finding.Place),
			Problem: finding.Problem, Consequence: finding.Consequence,
		})
	}
	for _, difference := range differences {
		result.Differences = append(result.Differences, differenceBody{placeBody: f.toPlace(difference.Place), Text: difference.Text})
	}
	return result
}

// exitCodeOf returns the exit code for the findings, of which errors come first.
func exitCodeOf(findings []core.Finding) int {
	switch {
	case len(findings) == 0:
		return ExitFindingsNone
	case findings[0].Severity == core.SeverityError:
		return ExitFindingsErrors
	}
	return ExitFindingsWarnings
}

// print prints the result as JSON or as text.
func (r checkResult) print(stdout io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
		return nil
	}
	for _, finding := range r.Findings {
		_, _ = fmt.Fprintf(stdout, "%-8s %s: %s; %s\n", finding.Severity, finding.text(), finding.Problem, finding.Consequence)
	}
	for _, difference := range r.Differences {
		_, _ = fmt.Fprintf(stdout, "%-8s %s: %s\n", "differs", difference.text(), difference.Text)
	}
	if len(r.Findings) == 0 {
		_, _ = fmt.Fprintln(stdout, "no findings")
	}
	return nil
}
