package generator

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// The size of a plot and its margins, in pixels.
const (
	plotWidth  = 860
	plotHeight = 360
	plotMargin = 60
)

// colours are the colours of successive lines of a plot.
var colours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"}

// Line is one line of a plot.
type Line struct {
	name   string
	points [][2]float64
}

// NewLine returns a line called name through points, each a pair of x and y.
func NewLine(name string, points [][2]float64) Line { return Line{name: name, points: points} }

// Plot is a plot of lines with linear axes. The zero value is empty.
type Plot struct {
	title string
	lines []Line
	// xTicks, if set, replaces the numeric labels of the x axis.
	xTicks map[float64]string
}

// PercentilePlot returns a plot of the short latencies of reports by percentile.
// The x axis is the number of nines of the percentile.
func PercentilePlot(title string, reports ...*Report) *Plot {
	plot := &Plot{title: title, xTicks: map[float64]string{0: "0", 1: "90", 2: "99", 3: "99.9"}}
	for _, report := range reports {
		line := Line{name: report.Plan.Label}
		for _, point := range report.Short.Curve {
			if nines := -math.Log10(1 - point.Quantile/100); nines <= 3.3 {
				line.points = append(line.points, [2]float64{nines, point.Value})
			}
		}
		plot.lines = append(plot.lines, line)
	}
	return plot
}

// SeriesPlot returns a plot over time of a report's offered, answered and refused
// requests per second and of the p99 of its short latencies.
func SeriesPlot(report *Report) *Plot {
	perSecond := 1 / seriesStep.Seconds()
	columns := []struct {
		name  string
		value func(Point) float64
	}{
		{"offered per second", func(point Point) float64 { return float64(point.Offered) * perSecond }},
		{"answered per second", func(point Point) float64 { return float64(point.Answered) * perSecond }},
		{"refused per second", func(point Point) float64 { return float64(point.Refused) * perSecond }},
		{"short p99, ms", func(point Point) float64 { return point.ShortP99 }},
	}
	plot := &Plot{title: report.Plan.Label + ", over seconds"}
	for _, column := range columns {
		line := Line{name: column.name}
		for _, point := range report.Series {
			line.points = append(line.points, [2]float64{point.AtMs / 1000, column.value(point)})
		}
		plot.lines = append(plot.lines, line)
	}
	return plot
}

// WriteSVG writes the plot as an SVG document.
func (plot *Plot) WriteSVG(writer io.Writer) error {
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight)
	svg.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	fmt.Fprintf(&svg, `<text x="%d" y="20" font-size="15">%s</text>`+"\n", plotMargin, escape(plot.title))
	maxX, maxY := plot.extent()
	plot.writeAxes(&svg, maxX, maxY)
	for index, line := range plot.lines {
		line.write(&svg, colours[index%len(colours)], index, maxX, maxY)
	}
	svg.WriteString("</svg>\n")
	_, err := io.WriteString(writer, svg.String())
	return err
}

// extent returns the maximum x and y, both positive.
func (plot *Plot) extent() (maxX, maxY float64) {
	for _, line := range plot.lines {
		for _, point := range line.points {
			maxX = max(maxX, point[0])
			maxY = max(maxY, point[1])
		}
	}
	return max(maxX, math.SmallestNonzeroFloat32), max(maxY, math.SmallestNonzeroFloat32)
}

func (plot *Plot) writeAxes(svg *strings.Builder, maxX, maxY float64) {
	const ticks = 5
	for tick := range ticks + 1 {
		value := maxY * float64(tick) / ticks
		_, y := project(0, value, maxX, maxY)
		fmt.Fprintf(svg, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`+"\n", plotMargin, plotWidth-plotMargin, y, y)
		fmt.Fprintf(svg, `<text x="%d" y="%.1f" text-anchor="end">%.4g</text>`+"\n", plotMargin-6, y+4, value)
	}
	labels := plot.xTicks
	if labels == nil {
		labels = make(map[float64]string)
		for tick := range ticks + 1 {
			value := maxX * float64(tick) / ticks
			labels[value] = fmt.Sprintf("%.3g", value)
		}
	}
	for value, text := range labels {
		x, y := project(value, 0, maxX, maxY)
		fmt.Fprintf(svg, `<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`+"\n", x, y+18, escape(text))
	}
}

// write draws the line and its entry in the legend.
func (line Line) write(svg *strings.Builder, colour string, index int, maxX, maxY float64) {
	var points strings.Builder
	for _, point := range line.points {
		x, y := project(point[0], point[1], maxX, maxY)
		fmt.Fprintf(&points, "%.1f,%.1f ", x, y)
	}
	fmt.Fprintf(svg, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", colour, points.String())
	fmt.Fprintf(svg, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+10, 40+16*index, colour, escape(line.name))
}

// project returns the pixel coordinates of a point.
func project(x, y, maxX, maxY float64) (float64, float64) {
	const margin = float64(plotMargin)
	return margin + x/maxX*(plotWidth-2*margin), plotHeight - margin/2 - y/maxY*(plotHeight-1.5*margin)
}

func escape(text string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;").Replace(text)
}
