package soaker

import (
	"fmt"
	"strings"
)

// Report is the outcome of a soak.
type Report struct {
	seed       uint64
	plan       Plan
	folder     string
	requests   int
	served     int
	runs       int
	versions   int
	violations []Violation
}

// Seed returns the seed.
func (report *Report) Seed() uint64 { return report.seed }

// Violations returns the cases in which a guarantee did not hold.
func (report *Report) Violations() []Violation { return report.violations }

// Summary returns the report in one line.
func (report *Report) Summary() string {
	return fmt.Sprintf("seed %d: %d events, %d requests, %d served, %d runs, %d versions, %d violations",
		report.seed, len(report.plan), report.requests, report.served, report.runs, report.versions, len(report.violations))
}

// String returns the report with the violations and the plan.
func (report *Report) String() string {
	var text strings.Builder
	fmt.Fprintln(&text, report.Summary())
	for _, violation := range report.violations {
		fmt.Fprintln(&text, violation)
	}
	fmt.Fprintf(&text, "plan; logs are in %s:\n%v", report.folder, report.plan)
	return text.String()
}
