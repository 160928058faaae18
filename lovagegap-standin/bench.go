package main

import (
	"os"

	"github.com/lovagegap/lovagegap/lovagegap-standin/bench"
)

type benchCommand struct {
	Pictures string `long:"pictures" description:"directory for the pictures (SVG); none without it"`
}

// Execute runs the simulations, prints their tables and draws the pictures if
// --pictures is given.
func (b *benchCommand) Execute([]string) error {
	report := bench.Run()
	report.Print(os.Stdout)
	if b.Pictures == "" {
		return nil
	}
	return report.Draw(b.Pictures)
}
