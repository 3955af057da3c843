package sizer

import (
	"fmt"
	"strings"
)

// quantities are the resources of a process that are fitted (the dependent variables).
var quantities = []struct {
	name  string
	value func(ProcessCost) float64
}{
	{"% of a core", func(process ProcessCost) float64 { return process.CPUPercent }},
	{"resident MiB", func(process ProcessCost) float64 { return float64(process.ResidentBytes) / mebibyte }},
	{"heap MiB", func(process ProcessCost) float64 { return float64(process.HeapBytes) / mebibyte }},
	{"sent B/s", func(process ProcessCost) float64 { sent, _ := totalBytes(process.Rates); return sent }},
	{"received B/s", func(process ProcessCost) float64 { _, received := totalBytes(process.Rates); return received }},
}

// variables are the independent variables. Each selects the measurements in which the other variables are constant.
var variables = []struct {
	name     string
	includes func(Measurement) bool
	value    func(Measurement) float64
	// target is the expected size of the whole system in two years; one data centre has a seventh of it.
	target float64
}{
	{
		"workers", func(measurement Measurement) bool { return measurement.Endpoints == 50 && measurement.StartRate == 0 },
		func(measurement Measurement) float64 { return float64(measurement.Workers) }, 860,
	},
	{
		"endpoints", func(measurement Measurement) bool { return measurement.Workers == 50 && measurement.StartRate == 0 },
		func(measurement Measurement) float64 { return float64(measurement.Endpoints) }, 2700,
	},
	{
		"starts/s", func(measurement Measurement) bool { return measurement.Workers == 200 && measurement.Endpoints == 50 },
		func(measurement Measurement) float64 { return float64(measurement.StartRate) }, 400,
	},
}

// targetDataCentres is the expected number of data centres in two years.
const targetDataCentres = 7

// seriesPoints returns the points of a quantity over a variable, for the processes of one role. Variable and quantity are
// indexes into variables and quantities.
func seriesPoints(report Report, variable, quantity int, role string) []Point {
	var found []Point
	for _, measurement := range report.Measurements {
		if !variables[variable].includes(measurement) {
			continue
		}
		for _, process := range measurement.Processes {
			if process.Role == role {
				found = append(found, Point{X: variables[variable].value(measurement), Y: quantities[quantity].value(process)})
			}
		}
	}
	return found
}

func printFits(text *strings.Builder, report Report) {
	text.WriteString("\n| part | variable | quantity | points | base | slope | largest residual | at a seventh | at the whole |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, role := range []string{"leader", "follower", "platform"} {
		for v, variable := range variables {
			for q, quantity := range quantities {
				measured := seriesPoints(report, v, q, role)
				line, err := Fit(measured)
				if err != nil {
					continue
				}
				fmt.Fprintf(text, "| %s | %s | %s | %d | %.4g | %.4g | %.3g | %.4g | %.4g |\n",
					role, variable.name, quantity.name, len(measured),
					line.Intercept, line.Slope, line.MaxResidual, line.At(variable.target/targetDataCentres), line.At(variable.target))
			}
		}
	}
}
