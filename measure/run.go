package main

import (
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/measure/baseline"
	"github.com/mustardseam/mustardseam/measure/chart"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/scenario"
)

type run struct {
	Name     string `arg:"" help:"Scenario, as list prints it."`
	Seed     uint64 `default:"1" help:"Seed of all random numbers."`
	Output   string `short:"o" enum:"table,json" default:"table" help:"Format: table or json."`
	Baseline string `help:"Baseline to run beside: round-robin, least-load or static-share."`
	Plot     string `help:"SVG file for the course of the run."`
}

// Run runs the scenario and prints its figures; the error is errBound when a bound does not hold.
func (r run) Run() error {
	s, ok := scenario.Find(r.Name)
	if !ok {
		return eris.Errorf("no scenario %q", r.Name)
	}
	baselines, ok := baseline.Maker(r.Baseline)
	if r.Baseline != "" && !ok {
		return eris.Errorf("no baseline %q: choose one of %s", r.Baseline, strings.Join(baseline.Names, ", "))
	}
	o := scenario.Options{Seed: r.Seed}
	res := s.Run(o)
	columns := []figure.Column{{Scheduler: "pool", Figures: res.Figures}}
	if r.Baseline != "" {
		o.Make = baselines
		columns = append(columns, figure.Column{Scheduler: r.Baseline, Figures: s.Run(o).Figures})
	}
	if r.Plot != "" {
		if err := chart.Save(r.Plot, r.Name, res.Series); err != nil {
			return err
		}
	}
	return r.print(columns)
}

func (r run) print(columns []figure.Column) error {
	show := figure.Print
	if r.Output == "json" {
		show = figure.PrintJSON
	}
	if err := show(os.Stdout, columns...); err != nil {
		return eris.Wrap(err, "print figures")
	}
	if !figure.Holds(columns[0].Figures) {
		return errBound
	}
	return nil
}
