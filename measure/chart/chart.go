package chart

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/mustardseam/mustardseam/measure/scenario"
)

// Size of the chart.
const (
	width  = 25 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Save writes the series, with one value per second, as a line chart. The file extension determines the format.
func Save(file, title string, series []scenario.Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time of arrival (s)"
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	for i, s := range series {
		points := make(plotter.XYs, len(s.Values))
		for x, y := range s.Values {
			points[x] = plotter.XY{X: float64(x), Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrapf(err, "draw %s", s.Name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return eris.Wrap(p.Save(width, height, file), "save chart")
}
