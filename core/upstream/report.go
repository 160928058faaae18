package upstream

// Report is what an upstream or the platform says about an upstream. It lags
// or misleads, so it never ejects a replica.
type Report struct {
	upstream ID
	boot     string
	cold     bool
	leaving  bool
	load     float64
}

// NewReport returns a report of a serving upstream. Load is the number of
// sub-requests that the upstream runs or queues.
func NewReport(upstream ID, boot string, load float64) Report {
	return Report{upstream: upstream, boot: boot, load: load}
}

// WithCold returns the report of an upstream that says it is in a cold start.
func (r Report) WithCold() Report {
	r.cold = true
	return r
}

// WithLeaving returns the report of an upstream that says it is leaving.
func (r Report) WithLeaving() Report {
	r.leaving = true
	return r
}

// Upstream returns the upstream that the report is about.
func (r Report) Upstream() ID { return r.upstream }

// Boot returns the identity of the upstream's process, or "".
func (r Report) Boot() string { return r.boot }

// IsCold reports whether the upstream says that it is in a cold start.
func (r Report) IsCold() bool { return r.cold }

// IsLeaving reports whether the upstream says that it is leaving.
func (r Report) IsLeaving() bool { return r.leaving }

// Load returns the reported number of sub-requests.
func (r Report) Load() float64 { return r.load }
