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

// plotTemplate draws one bar for each resource of a process, relative to its bound, on a logarithmic scale.
var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="900" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="900" height="{{.Height}}" fill="white"/>
<text x="10" y="20" font-size="14">Cost of one VM as a multiple of the bound (1.4% of a core, 32 MB, 4 KB/s), logarithmic</text>
{{range .Ticks}}<line x1="{{.X}}" x2="{{.X}}" y1="30" y2="{{$.Bottom}}" stroke="#ccc"/><text x="{{.X}}" y="{{$.Height}}" text-anchor="middle" dy="-6">{{.Label}}</text>
{{end}}<line x1="{{.Bound}}" x2="{{.Bound}}" y1="30" y2="{{.Bottom}}" stroke="black" stroke-width="2"/>
{{range .Bars}}<rect x="340" y="{{.Y}}" width="{{.Width}}" height="12" fill="{{.Colour}}"/><text x="330" y="{{.Y}}" dy="10" text-anchor="end">{{.Label}}</text><text x="{{.End}}" y="{{.Y}}" dy="10" dx="4">{{.Value}}</text>
{{end}}</svg>
`))

// plotCommand returns the command that draws an SVG chart of JSON reports.
func plotCommand() *cobra.Command {
	return &cobra.Command{
		Use: "plot SVG FILE...", Short: "Draw the figures of JSON files next to the bound", Args: cobra.MinimumNArgs(2), SilenceUsage: true,
		RunE: func(_ *cobra.Command, arguments []string) error {
			report, err := readReports(arguments[1:])
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

// tableCommand returns the command that prints the table and the fits of the measurements in several files, such as
// those of sessions that were run separately.
func tableCommand() *cobra.Command {
	return &cobra.Command{
		Use: "table FILE...", Short: "Print the table and the fits of JSON files", Args: cobra.MinimumNArgs(1), SilenceUsage: true,
		RunE: func(command *cobra.Command, arguments []string) error {
			report, err := readReports(arguments)
			if err != nil {
				return err
			}
			return PrintTable(command.OutOrStdout(), report)
		},
	}
}

// readReports merges the measurements of all files into one report.
func readReports(paths []string) (Report, error) {
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

// Plot draws the leader and the followers of the sessions "seventh" and "whole" as SVG, for the phases without task
// starts and the last phase, which has the highest start rate.
func Plot(w io.Writer, report Report) error {
	const top, height = 36, 16
	var bars []bar
	for index, measurement := range report.Measurements {
		last := index+1 == len(report.Measurements) || report.Measurements[index+1].Session != measurement.Session
		if measurement.Session != "seventh" && measurement.Session != "whole" || measurement.StartRate > 0 && !last {
			continue
		}
		for _, process := range measurement.Processes {
			if process.Role == "leader" || process.Role == "follower" {
				bars = append(bars, barsFor(measurement, process, top+height*len(bars))...)
			}
		}
	}
	bottom := top + height*len(bars)
	data := map[string]any{"Height": bottom + 24, "Bottom": bottom, "Bars": bars, "Bound": barPosition(1)}
	var ticks []tick
	for _, multiple := range []float64{0.1, 1, 10, 100} {
		ticks = append(ticks, tick{X: barPosition(multiple), Label: fmt.Sprintf("%g×", multiple)})
	}
	data["Ticks"] = ticks
	return Error.Wrap(plotTemplate.Execute(w, data))
}

func barsFor(measurement Measurement, process ProcessCost, y int) []bar {
	sent, received := totalBytes(process.Rates)
	figures := []struct {
		name, value, colour string
		multiple            float64
	}{
		{"processor", fmt.Sprintf("%.1f%%", process.CPUPercent), "#4878a8", process.CPUPercent / boundCPUPercent},
		{"memory", fmt.Sprintf("%.0f MiB", float64(process.ResidentBytes)/mebibyte), "#c08040", float64(process.ResidentBytes) / boundMemoryBytes},
		{"bytes", fmt.Sprintf("%.1f KB/s", (sent+received)/1000), "#60a060", (sent + received) / boundBytesPerSecond},
	}
	var bars []bar
	for index, figure := range figures {
		end := max(barPosition(figure.multiple), 341)
		bars = append(bars, bar{
			Label: fmt.Sprintf("%s, %d starts/s, %s, %s", measurement.Session, measurement.StartRate, process.Role, figure.name),
			Value: figure.value, Colour: figure.colour, Y: y + 16*index, Width: end - 340, End: end,
		})
	}
	return bars
}
