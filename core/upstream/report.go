package upstream

// Report is what an upstream or the platform states about the upstream. It may
// lag behind or be wrong, so it never ejects a replica.
type Report struct {
	upstream ID
	boot     string
	cold     bool
	leaving  bool
	load     float64 // sub-requests that run or wait
}

// NewReport returns a report of a serving upstream. Boot is the boot id of its
// process, or "" if unknown. Load is the number of sub-requests that it runs or
// queues.
func NewReport(upstream ID, boot string, load float64) Report {
	return Report{upstream: upstream, boot: boot, load: load}
}

// WithCold returns a copy of the report that states a cold start.
func (r Report) WithCold() Report {
	r.cold = true
	return r
}

// WithLeaving returns a copy of the report that states that the upstream is leaving.
func (r Report) WithLeaving() Report {
	r.leaving = true
	return r
}

// Upstream returns the upstream that the report is about.
func (r Report) Upstream() ID { return r.upstream }

// Boot returns the boot id of the upstream's process, or "" if unknown.
func (r Report) Boot() string { return r.boot }

// IsCold reports whether the report states a cold start.
func (r Report) IsCold() bool { return r.cold }

// IsLeaving reports whether the report states that the upstream is leaving.
func (r Report) IsLeaving() bool { return r.leaving }

// Load returns the reported number of sub-requests that run or wait.
func (r Report) Load() float64 { return r.load }
