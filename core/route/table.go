package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Service holds the operators' limits for the replicas of a service.
type Service struct {
	name           string
	maxConnections int
	warmupRate     float64 // requests per second
}

// NewService returns a service. The parameter maxConnections is the number of
// connections that a replica accepts from all daemons together, and warmupRate the
// number of requests per second that a cold replica can serve. In both, 0 stands
// for no limit.
func NewService(name string, maxConnections int, warmupRate float64) Service {
	return Service{name: name, maxConnections: maxConnections, warmupRate: warmupRate}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// MaxConnections returns the number of connections that a replica accepts from all
// daemons together, or 0 for no limit.
func (s Service) MaxConnections() int { return s.maxConnections }

// WarmupRate returns the number of requests per second that a cold replica can serve,
// or 0 for no limit.
func (s Service) WarmupRate() float64 { return s.warmupRate }

// Limits holds the limits of callers. A value of zero stands for the default of the
// daemon.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int
	headerTimeout  clock.Millis
	idleTimeout    clock.Millis
}

// NewLimits returns the limits of callers.
func NewLimits(maxHeaderBytes, maxBodyBytes int, headerTimeout, idleTimeout clock.Millis) Limits {
	return Limits{
		maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes,
		headerTimeout: headerTimeout, idleTimeout: idleTimeout,
	}
}

// MaxHeaderBytes returns the maximum size of a request's header.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of a request's body.
func (l Limits) MaxBodyBytes() int { return l.maxBodyBytes }

// HeaderTimeout returns the maximum time for a caller to send a header.
func (l Limits) HeaderTimeout() clock.Millis { return l.headerTimeout }

// IdleTimeout returns the time after which a caller's idle connection is closed.
func (l Limits) IdleTimeout() clock.Millis { return l.idleTimeout }

// Table is one version of the configuration. It is immutable.
type Table struct {
	version      uint64
	routesByHost map[string][]*Route // longest prefix first
	routeCount   int
	services     map[string]Service
	limits       Limits
	hasher       KeyHasher
	tenants      map[string]*Tenant // by name
	tenantsByKey map[KeyHash]*Tenant
}

// NewTable returns the table of a version of the configuration. It returns ErrInvalid
// if a route refers to a service that is not in services.
func NewTable(version uint64, routes []*Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version: version, limits: limits, routeCount: len(routes),
		routesByHost: make(map[string][]*Route), services: make(map[string]Service, len(services)),
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	for _, r := range routes {
		for _, name := range r.Services() {
			if _, ok := t.services[name]; !ok {
				return nil, errors.Wrapf(ErrInvalid, "route %q: service %q is not defined", r.Name(), name)
			}
		}
		host := strings.ToLower(r.Host())
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, hostRoutes := range t.routesByHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix()), len(a.Prefix())) })
	}
	return t, nil
}

// Version returns the version number that the operators gave the configuration.
func (t *Table) Version() uint64 { return t.version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }

// Limits returns the limits of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services by name. The map must not be changed.
func (t *Table) Services() map[string]Service { return t.services }

// Priorities returns the priorities of the requests to each service, without duplicates
// and the highest, that is the lowest number, first: those of the routes, and on routes
// that are not public those of the tenants, if there are any.
func (t *Table) Priorities() map[string][]int {
	var ofTenants []*Tenant // one of each priority
	for _, tenant := range t.tenants {
		if !slices.ContainsFunc(ofTenants, func(other *Tenant) bool { return other.priority == tenant.priority }) {
			ofTenants = append(ofTenants, tenant)
		}
	}
	priorities := make(map[string][]int, len(t.services))
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			callers := ofTenants
			if r.Public() || len(callers) == 0 {
				callers = []*Tenant{nil}
			}
			for _, service := range r.Services() {
				for _, tenant := range callers {
					priorities[service] = append(priorities[service], tenant.PriorityOn(r))
				}
			}
		}
	}
	for service, found := range priorities {
		slices.Sort(found)
		priorities[service] = slices.Compact(found)
	}
	return priorities
}

// Match returns the route of the host with the longest prefix of the path. A port in
// the host and the case of its letters are ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return nil, false
}
