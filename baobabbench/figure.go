package main

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// A figure is a plot with one line per series.
type figure struct {
	Title  string    `json:"title"`
	X      string    `json:"x"`
	Y      string    `json:"y"`
	Series []*series `json:"series"`
}

// A series is one line of a figure.
type series struct {
	Name   string       `json:"name"`
	Points [][2]float64 `json:"points"`
}

// addPoint adds a point to the series with the given name and creates the series if it is new.
func (f *figure) addPoint(name string, x, y float64) {
	for _, s := range f.Series {
		if s.Name == name {
			s.Points = append(s.Points, [2]float64{x, y})
			return
		}
	}
	f.Series = append(f.Series, &series{Name: name, Points: [][2]float64{{x, y}}})
}

// save writes the plot as a PNG file. Points whose y is not finite are left out.
func (f *figure) save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.Title, f.X, f.Y
	p.Legend.Top = true
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, s := range f.Series {
		var points plotter.XYs
		for _, v := range s.Points {
			if !math.IsNaN(v[1]) && !math.IsInf(v[1], 0) {
				points = append(points, plotter.XY{X: v[0], Y: v[1]})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrap(err, "save figure")
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line, dots)
		p.Legend.Add(s.Name, line)
	}
	return errors.Wrap(p.Save(20*vg.Centimeter, 12*vg.Centimeter, path), "save figure")
}
