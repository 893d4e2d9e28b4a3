package sampler

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

// LinearFit is a least-squares line through measurements.
type LinearFit struct {
	Scene  string `json:"scene"`
	Figure string `json:"figure"`
	Points int    `json:"points"`
	// Base is the value at x = 0, and Slope the increase per unit of x. SlopeError is
	// the standard error of Slope, or 0 with fewer than three points.
	Base       float64 `json:"base"`
	Slope      float64 `json:"slope"`
	SlopeError float64 `json:"slope-error"`
}

// LinearFits fits a line to each figure of each scene.
func LinearFits(samples []Sample) []LinearFit {
	scenes := make(map[string][]Sample)
	for _, sample := range samples {
		scenes[sample.Scene] = append(scenes[sample.Scene], sample)
	}
	var linearFits []LinearFit
	for _, scene := range slices.Sorted(maps.Keys(scenes)) {
		figures := make(map[string]bool)
		for _, sample := range scenes[scene] {
			for name := range sample.Figures {
				figures[name] = true
			}
		}
		for _, figure := range slices.Sorted(maps.Keys(figures)) {
			linearFits = append(linearFits, fitLine(scene, figure, scenes[scene]))
		}
	}
	return linearFits
}

// fitLine fits a line to one figure of a scene's samples.
func fitLine(scene, figure string, samples []Sample) LinearFit {
	count := float64(len(samples))
	var meanX, meanY float64
	for _, sample := range samples {
		meanX += sample.X / count
		meanY += sample.Figures[figure] / count
	}
	var sumXX, sumXY float64
	for _, sample := range samples {
		sumXX += (sample.X - meanX) * (sample.X - meanX)
		sumXY += (sample.X - meanX) * (sample.Figures[figure] - meanY)
	}
	linearFit := LinearFit{Scene: scene, Figure: figure, Points: len(samples), Base: meanY}
	if sumXX == 0 {
		return linearFit
	}
	linearFit.Slope = sumXY / sumXX
	linearFit.Base = meanY - linearFit.Slope*meanX
	if count < 3 {
		return linearFit
	}
	var residuals float64
	for _, sample := range samples {
		deviation := sample.Figures[figure] - linearFit.Base - linearFit.Slope*sample.X
		residuals += deviation * deviation
	}
	linearFit.SlopeError = math.Sqrt(residuals / (count - 2) / sumXX)
	return linearFit
}

// WriteLinearFits writes linearFits as a table, without those that are 0 everywhere.
func WriteLinearFits(writer io.Writer, linearFits []LinearFit) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scene\tfigure\tpoints\tat 0\tslope\tstandard error")
	for _, linearFit := range linearFits {
		if linearFit.Base == 0 && linearFit.Slope == 0 {
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.4g\t%.4g\t%.2g\n", linearFit.Scene, linearFit.Figure, linearFit.Points, linearFit.Base, linearFit.Slope, linearFit.SlopeError)
	}
	return table.Flush()
}
