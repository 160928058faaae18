// Package route selects the services that a caller's request is sent to.
//
// A Table is one version of the operators' configuration: the routes, matched by
// host and longest path prefix, the services that they refer to, the limits of
// callers, and the tenants with the hashes of their keys. Tables and routes are immutable and safe for concurrent use, so a
// request that holds a Route uses one version of the configuration to its end.
//
// # Usage
//
//	table, err := route.NewTable(7, routes, services, limits)
//	r, ok := table.Match("search.example", "/status/2f")
//	service := r.ChooseService(random.Float64()) // a route to one replica
//	for _, shard := range r.Shards() { … }       // a route over many shards
//	table, err = table.WithTenants(route.NewKeyHasher(secret), tenants)
//	tenant, ok := table.TenantOfKey(key)
package route

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// ErrInvalid marks an invalid configuration. The error names the field and the values
// that are allowed.
var ErrInvalid = errors.New("invalid configuration")

// Split is a service that receives a fraction of a route's requests.
type Split struct {
	service string
	weight  float64
}

// NewSplit returns a Split. The service receives the fraction weight of the sum of
// the weights on its route. NewRoute checks the weight.
func NewSplit(service string, weight float64) Split { return Split{service: service, weight: weight} }

// Service returns the name of the service.
func (s Split) Service() string { return s.service }

// Weight returns the weight relative to the other splits of the route.
func (s Split) Weight() float64 { return s.weight }

// Spec holds the parameters of a Route. Either Splits or Shards is set.
type Spec struct {
	Name           string
	Host           string
	Prefix         string       // begins and ends with a slash
	Idempotent     bool         // a request may run more than once
	Timeout        clock.Millis // maximum time until a caller gets an answer
	Objective      clock.Millis // latency objective
	MaxAttempts    int          // maximum number of replicas that a request, or each shard of it, is sent to
	Priority       int          // 0 is the highest
	Splits         []Split
	Shards         []string // services whose answers are merged
	TopK           int      // maximum number of records in a merged answer
	MinCoverage    float64  // minimum fraction of the shards in an answer, 0 to 1
	AllowedRegions []string // regions whose replicas may receive a request; all if empty
	Public         bool     // requests need no key, although the configuration has tenants
}

// Route holds the services and policies for the requests of one host and path prefix.
// It is immutable.
type Route struct {
	spec        Spec
	totalWeight float64
}

// NewRoute returns a route with the given parameters. It returns ErrInvalid if one
// of them is invalid. It retains the slices, which must not be changed.
func NewRoute(spec Spec) (*Route, error) {
	r := &Route{spec: spec}
	switch {
	case spec.Host == "":
		return nil, r.invalid("host must not be empty")
	case len(spec.Prefix) == 0 || spec.Prefix[0] != '/' || spec.Prefix[len(spec.Prefix)-1] != '/':
		return nil, r.invalid("prefix %q must begin and end with a slash", spec.Prefix)
	case spec.Timeout <= 0 || spec.Objective <= 0:
		return nil, r.invalid("timeout %v ms and objective %v ms must be greater than 0 ms", spec.Timeout, spec.Objective)
	case spec.MaxAttempts < 1:
		return nil, r.invalid("maxAttempts %d must be at least 1", spec.MaxAttempts)
	case (len(spec.Splits) == 0) == (len(spec.Shards) == 0):
		return nil, r.invalid("services must be either splits or shards: got %d splits and %d shards",
			len(spec.Splits), len(spec.Shards))
	case !(spec.MinCoverage >= 0 && spec.MinCoverage <= 1):
		return nil, r.invalid("minCoverage %v must be between 0 and 1", spec.MinCoverage)
	case len(spec.Shards) > 0 && spec.TopK < 0:
		return nil, r.invalid("topK %d must not be negative", spec.TopK)
	}
	for _, split := range spec.Splits {
		if split.weight < 0 || math.IsNaN(split.weight) || math.IsInf(split.weight, 0) {
			return nil, r.invalid("weight %v of service %q must be a finite number of at least 0", split.weight, split.service)
		}
		r.totalWeight += split.weight
	}
	if len(spec.Splits) > 0 && r.totalWeight == 0 {
		return nil, r.invalid("one of the weights must be greater than 0")
	}
	return r, nil
}

func (r *Route) invalid(format string, args ...any) error {
	return errors.Wrapf(ErrInvalid, "route %q: "+format, append([]any{r.spec.Name}, args...)...)
}

// Name returns the operators' name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host whose requests match the route.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// Timeout returns the maximum time until a caller gets an answer.
func (r *Route) Timeout() clock.Millis { return r.spec.Timeout }

// Objective returns the latency objective.
func (r *Route) Objective() clock.Millis { return r.spec.Objective }

// MaxAttempts returns the maximum number of replicas that a request, or each shard of
// it, is sent to.
func (r *Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Priority returns the priority; 0 is the highest.
func (r *Route) Priority() int { return r.spec.Priority }

// Public reports whether requests need no key, although the configuration has tenants.
func (r *Route) Public() bool { return r.spec.Public }

// Shards returns the services whose answers are merged, or nil on a route to one
// replica. The slice must not be changed.
func (r *Route) Shards() []string { return r.spec.Shards }

// AllowedRegions returns the regions whose replicas may receive a request; all if it
// is empty. The slice must not be changed.
func (r *Route) AllowedRegions() []string { return r.spec.AllowedRegions }

// TopK returns the maximum number of records in a merged answer.
func (r *Route) TopK() int { return r.spec.TopK }

// MinCoverage returns the minimum fraction of the shards in an answer, 0 to 1.
func (r *Route) MinCoverage() float64 { return r.spec.MinCoverage }

// MinShards returns the minimum number of shards in an answer, at least 1.
func (r *Route) MinShards() int {
	const roundingTolerance = 1e-9 // shards; a product such as 0.07*100 is slightly above the integer
	return max(1, int(math.Ceil(r.spec.MinCoverage*float64(len(r.spec.Shards))-roundingTolerance)))
}

// Services returns the services of the route's splits or shards. The slice must not
// be changed.
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

// ChooseService returns the service for a request on a route with splits. The draw is
// a random number that is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	remaining := draw * r.totalWeight
	for _, split := range r.spec.Splits {
		if remaining < split.weight {
			return split.service
		}
		remaining -= split.weight
	}
	return r.spec.Splits[len(r.spec.Splits)-1].service
}
