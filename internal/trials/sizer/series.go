package sizer

import (
	"fmt"
	"strings"
)

// quantities are the costs of a process through which lines are fitted.
var quantities = []struct {
	name string
	of   func(ProcessFigures) float64
}{
	{"% of a core", func(process ProcessFigures) float64 { return process.PercentOfACore }},
	{"resident MiB", func(process ProcessFigures) float64 { return float64(process.Resident) / mebi }},
	{"heap MiB", func(process ProcessFigures) float64 { return float64(process.Heap) / mebi }},
	{"sent B/s", func(process ProcessFigures) float64 { sent, _ := total(process.Rates); return sent }},
	{"received B/s", func(process ProcessFigures) float64 { _, received := total(process.Rates); return received }},
}

// variables are the sizes that vary while the others stay the same.
var variables = []struct {
	name     string
	includes func(Cell) bool
	of       func(Cell) float64
	// target is the whole of the size in two years; a data centre has a seventh of it.
	target float64
}{
	{
		"workers", func(cell Cell) bool { return cell.Endpoints == 50 && cell.Starts == 0 },
		func(cell Cell) float64 { return float64(cell.Workers) }, 860,
	},
	{
		"endpoints", func(cell Cell) bool { return cell.Workers == 50 && cell.Starts == 0 },
		func(cell Cell) float64 { return float64(cell.Endpoints) }, 2700,
	},
	{
		"starts/s", func(cell Cell) bool { return cell.Workers == 200 && cell.Endpoints == 50 },
		func(cell Cell) float64 { return float64(cell.Starts) }, 400,
	},
}

// dataCentres is the number of data centres in two years.
const dataCentres = 7

// points returns the measured points of a variable, a part and a quantity.
func points(report Report, variable, quantity int, part string) []Point {
	var found []Point
	for _, cell := range report.Cells {
		if !variables[variable].includes(cell) {
			continue
		}
		for _, process := range cell.Processes {
			if process.Part == part {
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
					line.Base, line.Slope, line.Residual, line.At(variable.target/dataCentres), line.At(variable.target))
			}
		}
	}
}
