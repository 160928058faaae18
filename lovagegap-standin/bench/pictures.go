package bench

import (
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	pictureWidth  = 18 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
	// bucketWidth is the step of the time axis. At 40 % load of review-desk, a bucket
	// has about 560 queries, enough for a p99.
	bucketWidth = 250 * clock.Millisecond
)

// colours are those of the lines, in order.
var colours = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
}

// Draw writes the pictures as SVG files into directory, which it creates if needed. It
// replaces files of the same names.
func (r *Report) Draw(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	pictures := map[string]func() (*plot.Plot, error){
		"latency-load.svg": func() (*plot.Plot, error) {
			return r.drawLatencyAgainstLoad(r.loadSeries[:2], "no faults")
		},
		"latency-load-stragglers.svg": func() (*plot.Plot, error) {
			return r.drawLatencyAgainstLoad(r.loadSeries[2:], "1 % stragglers")
		},
		"data-centre-p99.svg": func() (*plot.Plot, error) {
			return r.drawDataCentreLoss("p99 of answers (ms)", func(b []sample) float64 { return float64(p99(b)) })
		},
		"data-centre-coverage.svg": func() (*plot.Plot, error) {
			return r.drawDataCentreLoss("mean coverage", meanCoverage)
		},
	}
	for name, draw := range pictures {
		p, err := draw()
		if err != nil {
			return err
		}
		if err := p.Save(pictureWidth, pictureHeight, filepath.Join(directory, name)); err != nil {
			return err
		}
	}
	return nil
}

// drawLatencyAgainstLoad draws the p50 and p99 of each series against the busy slots.
func (r *Report) drawLatencyAgainstLoad(list []series, fault string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "review-desk, " + fault
	p.X.Label.Text = "busy slots (%)"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Min = 0
	for i, s := range list {
		for j, quantile := range []struct {
			name string
			q    float64
		}{{"p50", 0.5}, {"p99", 0.99}} {
			var points plotter.XYs
			for _, x := range s.results {
				points = append(points, plotter.XY{X: 100 * x.scenario.utilisation, Y: x.quantile(quantile.q)})
			}
			if err := addLine(p, s.name+" "+quantile.name, points, i, j); err != nil {
				return nil, err
			}
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p, nil
}

// drawDataCentreLoss draws the value of each time bucket, for each variant, in the runs
// that lose a data centre.
func (r *Report) drawDataCentreLoss(label string, value func([]sample) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "review-desk: a data centre is lost at 4 s and returns cold at 10 s"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Y.Min = 0
	for i, x := range r.dataCentreLoss {
		var points plotter.XYs
		for at, b := range x.buckets() {
			if len(b) > 0 {
				points = append(points, plotter.XY{X: float64(at) * float64(bucketWidth/clock.Second), Y: value(b)})
			}
		}
		// Dashes keep both lines visible where those of two variants coincide.
		if err := addLine(p, x.scenario.variant.name, points, i, i%2); err != nil {
			return nil, err
		}
	}
	p.Legend.Top = true
	return p, nil
}

// addLine adds a line and its legend. It selects the colour by index; dash > 0 makes the
// line dashed.
func addLine(p *plot.Plot, name string, points plotter.XYs, colour, dash int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colours[colour%len(colours)]
	line.Width = vg.Points(1.5)
	if dash > 0 {
		line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// buckets groups the queries by arrival time, in steps of bucketWidth.
func (r *result) buckets() [][]sample {
	buckets := make([][]sample, int(r.duration/bucketWidth)+1)
	for _, x := range r.samples {
		at := int(x.startedAt / bucketWidth)
		buckets[at] = append(buckets[at], x)
	}
	return buckets
}

// p99 returns the p99 of the latencies of a bucket, which must not be empty.
func p99(samples []sample) clock.Millis {
	latencies := make([]clock.Millis, 0, len(samples))
	for _, x := range samples {
		latencies = append(latencies, x.latency)
	}
	slices.Sort(latencies)
	return latencies[int(0.99*float64(len(latencies)-1))]
}

// meanCoverage returns the mean coverage of a bucket, which must not be empty.
func meanCoverage(samples []sample) float64 {
	sum := 0.0
	for _, x := range samples {
		sum += x.coverage
	}
	return sum / float64(len(samples))
}
