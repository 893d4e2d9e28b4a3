// Package inspector checks a configuration of the gateway before an operator writes it
// to the platform's store, and lists what it changes in the version in force.
//
// The package only decides: it does no I/O, reads no clock and starts no goroutines.
// Package platform translates the stored form to a [Configuration]. It is designed for
// 10,000 accounts with two keys each, and keeps digests of keys instead of keys.
package inspector

import "fmt"

// Class groups findings by their effect.
type Class string

// The classes of findings. A Difference is not a fault.
const (
	// Error is a fault because of which the configuration, or a part of it, is not used.
	Error Class = "error"
	// Unmatched is an entry that no request can match.
	Unmatched Class = "never-matches"
	// Limit is a limit that contradicts another one or can't be meant.
	Limit Class = "limit"
	// Difference is a change to the version in force.
	Difference Class = "difference"
)

// Finding is one result of a check.
type Finding struct {
	class Class
	// kind is in kebab case; it does not change between releases, for scripts.
	kind string
	// entry is the kind and name of the entry, such as "route tiles".
	entry string
	// text states the fault and its remedy; it never contains an API key.
	text string
}

// NewUndecodable returns the finding for a configuration that can't be decoded. The text
// of err must not contain values of the configuration.
func NewUndecodable(err error) Finding {
	return Finding{class: Error, kind: "not-decodable", entry: "configuration", text: err.Error()}
}

// Class returns the class.
func (finding Finding) Class() Class { return finding.class }

// Kind returns the kind in kebab case.
func (finding Finding) Kind() string { return finding.kind }

// Entry returns the kind and name of the entry.
func (finding Finding) Entry() string { return finding.entry }

// Text returns the fault and its remedy.
func (finding Finding) Text() string { return finding.text }

// Inspector checks configurations. The zero value accepts all regions.
type Inspector struct {
	// regions holds the names that may be used as regions; empty for all.
	regions []string
}

// New returns an inspector that accepts only regions, or all if there are none.
func New(regions []string) *Inspector { return &Inspector{regions: regions} }

// Inspect returns the faults of configuration, by class and then in the order of its
// entries.
func (inspector *Inspector) Inspect(configuration *Configuration) []Finding {
	report := new(report)
	report.class = Error
	inspector.findErrors(configuration, report)
	report.class = Unmatched
	findUnmatched(configuration, report)
	report.class = Limit
	findLimits(configuration, report)
	return report.findings
}

// report collects findings of one class after the other.
type report struct {
	class    Class
	findings []Finding
}

func (report *report) add(entry, kind, format string, values ...any) {
	report.findings = append(report.findings, Finding{
		class: report.class, kind: kind, entry: entry, text: fmt.Sprintf(format, values...),
	})
}
