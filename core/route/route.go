// Package route decides which services run a caller's request.
//
// A Table is one version of the operators' configuration: routes found by host
// and longest path prefix, the services behind them, and limits of callers. It
// never changes, so a request that holds a Route keeps one version to its end.
//
// # Usage
//
//	table, err := route.NewTable(7, routes, services, limits)
//	r, ok := table.Match("search.example", "/status/2f")
//	service := r.Choose(random.Float64())   // a route to one replica
//	for _, shard := range r.Shards() { … }  // a route over many shards
package route

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// ErrInvalid marks a configuration that cannot be used. The error says which
// field is wrong and what is allowed.
var ErrInvalid = errors.New("invalid configuration")

// Split is a service that takes a share of a route's requests.
type Split struct {
	service string
	weight  float64
}

// NewSplit returns a service with its weight.
func NewSplit(service string, weight float64) Split { return Split{service: service, weight: weight} }

// Service returns the name of the service.
func (s Split) Service() string { return s.service }

// Weight returns the share relative to the other weights of the route.
func (s Split) Weight() float64 { return s.weight }

// Spec holds the values of a new Route. Either Splits or Shards is set.
type Spec struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Idempotent     bool
	Timeout        clock.Millis // longest time that a caller is kept waiting
	Objective      clock.Millis // latency objective
	MaxAttempts    int          // replicas that one request, or one shard of it, may be sent to
	Priority       int          // 0 is the highest
	Splits         []Split
	Shards         []string // services that all take part in an answer
	TopK           int      // records of an answer over many shards
	MinCoverage    float64  // least share of the shards in an answer, 0 to 1
	AllowedRegions []string // the only ones whose replicas may get a request; all if empty
}

// Route is where the requests of one host and path prefix go.
type Route struct {
	spec        Spec
	totalWeight float64
}

// NewRoute checks the values of a route. It returns ErrInvalid.
func NewRoute(spec Spec) (*Route, error) {
	r := &Route{spec: spec}
	switch {
	case spec.Host == "":
		return nil, r.invalid("host", "must not be empty")
	case len(spec.Prefix) == 0 || spec.Prefix[0] != '/' || spec.Prefix[len(spec.Prefix)-1] != '/':
		return nil, r.invalid("prefix", "must begin and end with a slash")
	case spec.Timeout <= 0 || spec.Objective <= 0:
		return nil, r.invalid("timeout and objective", "must be above 0 ms")
	case spec.MaxAttempts < 1:
		return nil, r.invalid("attempts", "must be at least 1")
	case (len(spec.Splits) == 0) == (len(spec.Shards) == 0):
		return nil, r.invalid("services", "either splits or shards must be named")
	case !(spec.MinCoverage >= 0 && spec.MinCoverage <= 1):
		return nil, r.invalid("minimum coverage", "must be between 0 and 1")
	case len(spec.Shards) > 0 && spec.TopK < 0:
		return nil, r.invalid("records", "must not be negative")
	}
	for _, split := range spec.Splits {
		if split.weight < 0 || math.IsNaN(split.weight) || math.IsInf(split.weight, 0) {
			return nil, r.invalid("weight of "+split.service, "must be a number from 0")
		}
		r.totalWeight += split.weight
	}
	if len(spec.Splits) > 0 && r.totalWeight == 0 {
		return nil, r.invalid("weights", "one must be above 0")
	}
	return r, nil
}

func (r *Route) invalid(field, allowed string) error {
	return errors.Wrapf(ErrInvalid, "route %q: %s %s", r.spec.Name, field, allowed)
}

// Name returns the operators' name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host whose requests the route takes.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// Timeout returns the longest time that a caller is kept waiting.
func (r *Route) Timeout() clock.Millis { return r.spec.Timeout }

// Objective returns the latency objective.
func (r *Route) Objective() clock.Millis { return r.spec.Objective }

// MaxAttempts returns to how many replicas a request, or each shard of it, may be
// sent.
func (r *Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Priority returns the rank; 0 is the highest.
func (r *Route) Priority() int { return r.spec.Priority }

// Shards returns the services that all take part in an answer, or nil if one
// replica answers.
func (r *Route) Shards() []string { return r.spec.Shards }

// AllowedRegions returns the only regions whose replicas may get a request of the
// route, or nothing if all may.
func (r *Route) AllowedRegions() []string { return r.spec.AllowedRegions }

// TopK returns how many records an answer over many shards has at most.
func (r *Route) TopK() int { return r.spec.TopK }

// MinCoverage returns the least share of the shards in an answer.
func (r *Route) MinCoverage() float64 { return r.spec.MinCoverage }

// MinShards returns the least number of shards in an answer.
func (r *Route) MinShards() int {
	const rounding = 1e-9
	return max(1, int(math.Ceil(r.spec.MinCoverage*float64(len(r.spec.Shards))-rounding)))
}

// Services returns the services that the route names.
func (r *Route) Services() []string {
	if r.spec.Shards != nil {
		return r.spec.Shards
	}
	names := make([]string, len(r.spec.Splits))
	for i, split := range r.spec.Splits {
		names[i] = split.service
	}
	return names
}

// ChooseService returns the service for a request. The draw is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	left := draw * r.totalWeight
	for _, split := range r.spec.Splits {
		if left < split.weight {
			return split.service
		}
		left -= split.weight
	}
	return r.spec.Splits[len(r.spec.Splits)-1].service
}
