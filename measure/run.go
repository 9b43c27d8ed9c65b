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

type runCommand struct {
	Name     string `arg:"" help:"Scenario, as list prints it."`
	Seed     uint64 `default:"1" help:"Seed of all random numbers."`
	Output   string `short:"o" enum:"table,json" default:"table" help:"Format: table or json."`
	Baseline string `help:"Baseline to run beside: round-robin, least-load or static-share."`
	Plot     string `help:"SVG file for the course of the run."`
}

// Run runs the scenario and prints its figures. It returns errBoundViolated when a figure violates its bound.
func (r runCommand) Run() error {
	s, ok := scenario.Find(r.Name)
	if !ok {
		return eris.Errorf("scenario %q does not exist", r.Name)
	}
	newBaseline, ok := baseline.Factory(r.Baseline)
	if r.Baseline != "" && !ok {
		return eris.Errorf("baseline %q does not exist; available baselines: %s", r.Baseline, strings.Join(baseline.Names, ", "))
	}
	options := scenario.Options{Seed: r.Seed}
	result := s.Run(options)
	columns := []figure.Column{{Scheduler: "pool", Figures: result.Figures}}
	if r.Baseline != "" {
		options.NewScheduler = newBaseline
		columns = append(columns, figure.Column{Scheduler: r.Baseline, Figures: s.Run(options).Figures})
	}
	if r.Plot != "" {
		if err := chart.Save(r.Plot, r.Name, result.Series); err != nil {
			return err
		}
	}
	return r.print(columns)
}

func (r runCommand) print(columns []figure.Column) error {
	printFigures := figure.Print
	if r.Output == "json" {
		printFigures = figure.PrintJSON
	}
	if err := printFigures(os.Stdout, columns...); err != nil {
		return eris.Wrap(err, "print figures")
	}
	if !figure.Holds(columns[0].Figures) {
		return errBoundViolated
	}
	return nil
}
