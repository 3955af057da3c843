package sizer

import (
	"fmt"
	"strings"
)

// quantities are the costs of a process through which lines are fitted.
var quantities = []struct {
	name string
	of   func(ProcessCost) float64
}{
	{"% of a core", func(process ProcessCost) float64 { return process.CPUPercent }},
	{"resident MiB", func(process ProcessCost) float64 { return float64(process.ResidentBytes) / mebi }},
	{"heap MiB", func(process ProcessCost) float64 { return float64(process.HeapBytes) / mebi }},
	{"sent B/s", func(process ProcessCost) float64 { sent, _ := total(process.Rates); return sent }},
	{"received B/s", func(process ProcessCost) float64 { _, received := total(process.Rates); return received }},
}

// variables are the sizes that vary while the others stay the same.
var variables = []struct {
	name     string
	includes func(Measurement) bool
	of       func(Measurement) float64
	// target is the whole of the size in two years; a data centre has a seventh of it.
	target float64
}{
	{
		"workers", func(cell Measurement) bool { return cell.Endpoints == 50 && cell.StartRate == 0 },
		func(cell Measurement) float64 { return float64(cell.Workers) }, 860,
	},
	{
		"endpoints", func(cell Measurement) bool { return cell.Workers == 50 && cell.StartRate == 0 },
		func(cell Measurement) float64 { return float64(cell.Endpoints) }, 2700,
	},
	{
		"starts/s", func(cell Measurement) bool { return cell.Workers == 200 && cell.Endpoints == 50 },
		func(cell Measurement) float64 { return float64(cell.StartRate) }, 400,
	},
}

// dataCentres is the number of data centres in two years.
const dataCentres = 7

// points returns the measured points of a variable, a part and a quantity.
func points(report Report, variable, quantity int, part string) []Point {
	var found []Point
	for _, cell := range report.Measurements {
		if !variables[variable].includes(cell) {
			continue
		}
		for _, process := range cell.Processes {
			if process.Role == part {
				found = append(found, Point{X: variables[variable].of(cell), Y: quantities[quantity].of(process)})
			}
		}
	}
	return found
}

func printFits(text *strings.Builder, report Report) {
	text.WriteString("\n| part | variable | quantity | points | base | slope | largest residual | at a seventh | at the whole |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, part := range []string{"leader", "follower", "platform"} {
		for v, variable := range variables {
			for q, quantity := range quantities {
				measured := points(report, v, q, part)
				line, err := Fit(measured)
				if err != nil {
					continue
				}
				fmt.Fprintf(text, "| %s | %s | %s | %d | %.4g | %.4g | %.3g | %.4g | %.4g |\n", part, variable.name, quantity.name, len(measured),
					line.Intercept, line.Slope, line.MaxResidual, line.At(variable.target/dataCentres), line.At(variable.target))
			}
		}
	}
}
