package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Comparison groups reports by scene and policy, with several seeds for each
// policy. The zero value is empty.
type Comparison struct {
	// reports holds the reports by scene, then by policy.
	reports map[string]map[string][]*Report
}

// Add adds report under its plan's scene and policy.
func (comparison *Comparison) Add(report *Report) {
	scene, policy := report.Plan.Scene, report.Plan.Policy
	if comparison.reports == nil {
		comparison.reports = make(map[string]map[string][]*Report)
	}
	if comparison.reports[scene] == nil {
		comparison.reports[scene] = make(map[string][]*Report)
	}
	comparison.reports[scene][policy] = append(comparison.reports[scene][policy], report)
}

// Spread is the median, minimum and maximum of a figure over seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// Row sums up one policy in one scene. Latencies are in milliseconds.
type Row struct {
	Scene     string `json:"scene"`
	Policy    string `json:"policy"`
	Seeds     int    `json:"seeds"`
	ShortP50  Spread `json:"short-p50"`
	ShortP99  Spread `json:"short-p99"`
	ShortP999 Spread `json:"short-p99.9"`
	LongP99   Spread `json:"long-p99"`
	// Goodput, and PeakGoodput over the steps of peak load, are shares of
	// capacity.
	Goodput     Spread `json:"goodput"`
	PeakGoodput Spread `json:"crest-goodput"`
	// Refused is the share of requests that were refused, and LongDone the
	// share of long requests that were answered.
	Refused  Spread `json:"refused"`
	LongDone Spread `json:"long-done"`
	// Violations is the number of reports with a violation.
	Violations int `json:"faults"`
}

// Rows returns all rows, sorted by scene and policy.
func (comparison *Comparison) Rows() []Row {
	var rows []Row
	for _, scene := range slices.Sorted(maps.Keys(comparison.reports)) {
		policies := comparison.reports[scene]
		for _, policy := range slices.Sorted(maps.Keys(policies)) {
			rows = append(rows, newRow(scene, policy, policies[policy]))
		}
	}
	return rows
}

func newRow(scene, policy string, reports []*Report) Row {
	row := Row{Scene: scene, Policy: policy, Seeds: len(reports)}
	figures := []struct {
		spread *Spread
		figure func(*Report) float64
	}{
		{&row.ShortP50, func(report *Report) float64 { return report.Short.P50 }},
		{&row.ShortP99, func(report *Report) float64 { return report.Short.P99 }},
		{&row.ShortP999, func(report *Report) float64 { return report.Short.P999 }},
		{&row.LongP99, func(report *Report) float64 { return report.Long.P99 }},
		{&row.Goodput, func(report *Report) float64 { return share(report.Goodput(), report.Plan.Capacity) }},
		{&row.PeakGoodput, func(report *Report) float64 { return share(report.PeakLoad.Goodput, report.Plan.Capacity) }},
		{&row.Refused, func(report *Report) float64 {
			return share(float64(report.Counts.Refused), float64(report.Counts.Sent))
		}},
		{&row.LongDone, func(report *Report) float64 {
			return share(float64(report.Counts.LongAnswered), float64(report.Counts.Long))
		}},
	}
	for _, figure := range figures {
		*figure.spread = newSpread(reports, figure.figure)
	}
	for _, report := range reports {
		if report.Violation() != nil {
			row.Violations++
		}
	}
	return row
}

func newSpread(reports []*Report, figure func(*Report) float64) Spread {
	values := make([]float64, 0, len(reports))
	for _, report := range reports {
		values = append(values, figure(report))
	}
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Scenes returns the names of the scenes, sorted.
func (comparison *Comparison) Scenes() []string {
	return slices.Sorted(maps.Keys(comparison.reports))
}

// Plot returns a plot of the short latencies of each policy in a scene, taken from
// the first report of the policy.
func (comparison *Comparison) Plot(scene string) *Plot {
	var reports []*Report
	policies := comparison.reports[scene]
	for _, policy := range slices.Sorted(maps.Keys(policies)) {
		first := *policies[policy][0]
		first.Plan.Label = policy
		reports = append(reports, &first)
	}
	return PercentilePlot(scene+": short latency in ms by percentile", reports...)
}

// WriteRows writes rows as a table. A spread is written as its median, followed
// by its minimum and maximum in brackets if they differ.
func WriteRows(writer io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scene\tpolicy\tshort p50\tshort p99\tshort p99.9\tlong p99\tgoodput\tpeak goodput\trefused\tlong done\tfaults")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d of %d\n", row.Scene, row.Policy,
			row.ShortP50.text("%.1f"), row.ShortP99.text("%.1f"), row.ShortP999.text("%.1f"), row.LongP99.text("%.0f"),
			row.Goodput.text("%.3f"), row.PeakGoodput.text("%.3f"), row.Refused.text("%.4f"), row.LongDone.text("%.3f"),
			row.Violations, row.Seeds)
	}
	return table.Flush()
}

func (spread Spread) text(format string) string {
	if spread.Min == spread.Max {
		return fmt.Sprintf(format, spread.Median)
	}
	return fmt.Sprintf(format+" ["+format+" "+format+"]", spread.Median, spread.Min, spread.Max)
}
