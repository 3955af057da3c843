package sizer

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/template"

	"github.com/spf13/cobra"
)

// plotText has one bar for each figure of a cell, relative to its bound on a logarithmic scale.
var plotText = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="900" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="900" height="{{.Height}}" fill="white"/>
<text x="10" y="20" font-size="14">Cost of one VM as a multiple of the bound (1.4% of a core, 32 MB, 4 KB/s), logarithmic</text>
{{range .Ticks}}<line x1="{{.X}}" x2="{{.X}}" y1="30" y2="{{$.Bottom}}" stroke="#ccc"/><text x="{{.X}}" y="{{$.Height}}" text-anchor="middle" dy="-6">{{.Label}}</text>
{{end}}<line x1="{{.Bound}}" x2="{{.Bound}}" y1="30" y2="{{.Bottom}}" stroke="black" stroke-width="2"/>
{{range .Bars}}<rect x="340" y="{{.Y}}" width="{{.Width}}" height="12" fill="{{.Colour}}"/><text x="330" y="{{.Y}}" dy="10" text-anchor="end">{{.Label}}</text><text x="{{.End}}" y="{{.Y}}" dy="10" dx="4">{{.Value}}</text>
{{end}}</svg>
`))

// plotCommand returns the command that draws a JSON file of figures.
func plotCommand() *cobra.Command {
	return &cobra.Command{
		Use: "plot SVG FILE...", Short: "Draw the figures of JSON files next to the bound", Args: cobra.MinimumNArgs(2), SilenceUsage: true,
		RunE: func(_ *cobra.Command, arguments []string) error {
			report, err := load(arguments[1:])
			if err != nil {
				return err
			}
			file, err := os.Create(filepath.Clean(arguments[0]))
			if err != nil {
				return Error.Wrap(err)
			}
			if err := Plot(file, report); err != nil {
				_ = file.Close()
				return err
			}
			return Error.Wrap(file.Close())
		},
	}
}

// tableCommand returns the command that prints the table and the fits of the cells of several files, such
// as those of sessions that were run one by one.
func tableCommand() *cobra.Command {
	return &cobra.Command{
		Use: "table FILE...", Short: "Print the table and the fits of JSON files", Args: cobra.MinimumNArgs(1), SilenceUsage: true,
		RunE: func(command *cobra.Command, arguments []string) error {
			report, err := load(arguments)
			if err != nil {
				return err
			}
			return PrintTable(command.OutOrStdout(), report)
		},
	}
}

// load returns the cells of all files.
func load(paths []string) (Report, error) {
	var all Report
	for _, path := range paths {
		data, err := os.ReadFile(filepath.Clean(path))
		if err != nil {
			return all, Error.Wrap(err)
		}
		var report Report
		if err := json.Unmarshal(data, &report); err != nil {
			return all, Error.New("%s: %v", path, err)
		}
		all.Measurements = append(all.Measurements, report.Measurements...)
	}
	return all, nil
}

type bar struct {
	Label, Value, Colour string
	Y                    int
	Width, End           float64
}

type tick struct {
	X     float64
	Label string
}

// Plot draws the leader and the follower of the sessions that are named seventh and whole, without starts
// and at the highest rate.
func Plot(w io.Writer, report Report) error {
	const top, height = 36, 16
	var bars []bar
	for index, cell := range report.Measurements {
		last := index+1 == len(report.Measurements) || report.Measurements[index+1].Session != cell.Session
		if cell.Session != "seventh" && cell.Session != "whole" || cell.StartRate > 0 && !last {
			continue
		}
		for _, process := range cell.Processes {
			if process.Role == "leader" || process.Role == "follower" {
				bars = append(bars, barsOf(cell, process, top+height*len(bars))...)
			}
		}
	}
	bottom := top + height*len(bars)
	data := map[string]any{"Height": bottom + 24, "Bottom": bottom, "Bars": bars, "Bound": position(1)}
	var ticks []tick
	for _, multiple := range []float64{0.1, 1, 10, 100} {
		ticks = append(ticks, tick{X: position(multiple), Label: fmt.Sprintf("%g×", multiple)})
	}
	data["Ticks"] = ticks
	return Error.Wrap(plotText.Execute(w, data))
}

func barsOf(cell Measurement, process ProcessCost, y int) []bar {
	sent, received := total(process.Rates)
	figures := []struct {
		name, value, colour string
		multiple            float64
	}{
		{"processor", fmt.Sprintf("%.1f%%", process.CPUPercent), "#4878a8", process.CPUPercent / boundPercent},
		{"memory", fmt.Sprintf("%.0f MiB", float64(process.ResidentBytes)/mebi), "#c08040", float64(process.ResidentBytes) / boundMemory},
		{"bytes", fmt.Sprintf("%.1f KB/s", (sent+received)/1000), "#60a060", (sent + received) / boundBytes},
	}
	var bars []bar
	for index, figure := range figures {
		end := max(position(figure.multiple), 341)
		bars = append(bars, bar{
			Label: fmt.Sprintf("%s, %d starts/s, %s, %s", cell.Session, cell.StartRate, process.Role, figure.name),
			Value: figure.value, Colour: figure.colour, Y: y + 16*index, Width: end - 340, End: end,
		})
	}
	return bars
}
