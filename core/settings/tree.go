// Package settings holds the settings tree: reading and checking it,
// inheritance between its levels, good-answer conditions, the document in
// which it is stored, and edits of single values.
//
// Values are set at four levels, fleet, user, service and class; each inherits
// from the one above. One table of keys drives reading, checking, effective
// values, help and the operators' page.
//
// # Usage
//
//	tree, err := settings.Parse(text)
//	for _, p := range settings.Problems(err) { fmt.Println(p) }
//
//	e, _ := tree.Effective("association", "review-desk", "officer")
//	deadline := e.Deadline()
//	good, err := e.GoodAnswer().Evaluate(settings.NewAnswerAttributes(200, 1, 12, false))
package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Tree is a checked settings tree. It never changes. The zero value is the
// empty tree, in which every value is the default.
type Tree struct {
	text            []byte
	root            *node
	fleet           *Effective
	users           map[string]*userSettings
	outByDataCentre map[string]bool // data centre to whether it is out
	dataCentresOut  []string
}

type userSettings struct {
	effective *Effective
	services  map[string]*serviceSettings
}

type serviceSettings struct {
	effective     *Effective
	classes       map[string]*Effective
	tenantWeights map[string]float64
}

// Text returns the tree as it was given to Parse. The caller must not change
// it.
func (t *Tree) Text() []byte {
	if t.text == nil {
		return []byte("{}")
	}
	return t.text
}

// Effective returns the values in force at the fleet (no argument), a user, a
// service or a class. If the tree has no such level, it returns the values of
// the nearest level above and false; a class that the tree does not name
// therefore has the values of its service.
func (t *Tree) Effective(level ...string) (*Effective, bool) {
	if t.fleet == nil {
		return defaults(), len(level) == 0
	}
	if len(level) == 0 {
		return t.fleet, true
	}
	u, ok := t.users[level[0]]
	if !ok {
		return t.fleet, false
	}
	if len(level) == 1 {
		return u.effective, true
	}
	s, ok := u.services[level[1]]
	if !ok {
		return u.effective, false
	}
	if len(level) == 2 {
		return s.effective, true
	}
	c, ok := s.classes[level[2]]
	if !ok {
		return s.effective, false
	}
	return c, len(level) == 3
}

// EffectiveAt returns the values in force at a path such as
// "users.association.services.review-desk", or ErrNoSuchPath. The path of the
// fleet is "" or "fleet".
func (t *Tree) EffectiveAt(path string) (*Effective, error) {
	place, err := parseLocation(path)
	if err != nil {
		return nil, err
	}
	if place.level > LevelClass {
		return nil, errors.Wrapf(ErrNoSuchPath, "%s has no values of its own", path)
	}
	e, ok := t.Effective(place.names...)
	if !ok {
		return nil, errors.Wrapf(ErrNoSuchPath, "%s", truncate(path))
	}
	return e, nil
}

// Users lists the users in alphabetical order.
func (t *Tree) Users() []string { return slices.Sorted(maps.Keys(t.users)) }

// Services lists the services of a user in alphabetical order.
func (t *Tree) Services(user string) []string {
	u := t.users[user]
	if u == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(u.services))
}

// HasService reports whether the tree names the service.
func (t *Tree) HasService(user, service string) bool { return t.findService(user, service) != nil }

// Classes lists the classes that the tree names for a service.
func (t *Tree) Classes(user, service string) []string {
	s := t.findService(user, service)
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.classes))
}

// Tenants lists the tenants that the tree names for a service.
func (t *Tree) Tenants(user, service string) []string {
	s := t.findService(user, service)
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.tenantWeights))
}

// TenantWeight returns the weight of a tenant. It is 1 for a tenant that the
// tree does not name.
func (t *Tree) TenantWeight(user, service, tenant string) float64 {
	if s := t.findService(user, service); s != nil {
		if weight, ok := s.tenantWeights[tenant]; ok {
			return weight
		}
	}
	return defaultTenantWeight
}

// defaultTenantWeight is the default of the tenants' weight in the table; a test
// compares the two.
const defaultTenantWeight = 1

// DataCentres lists the data centres that the tree names.
func (t *Tree) DataCentres() []string { return slices.Sorted(maps.Keys(t.outByDataCentre)) }

// DataCentresOut lists the data centres that are out, in alphabetical order.
// The caller must not change the slice.
func (t *Tree) DataCentresOut() []string { return t.dataCentresOut }

// IsDataCentreOut reports whether a data centre is out.
func (t *Tree) IsDataCentreOut(dataCentre string) bool { return t.outByDataCentre[dataCentre] }

func (t *Tree) findService(user, service string) *serviceSettings {
	u := t.users[user]
	if u == nil {
		return nil
	}
	return u.services[service]
}

// location is a parsed path.
type location struct {
	level Level
	names []string // user, service and class or tenant; or the data centre
}

// pathKeywords are the words between the names of a path.
var pathKeywords = [...]string{"users", "services", "classes"}

// parseLocation reads a path of dotted steps.
func parseLocation(path string) (location, error) {
	if path == "" || path == OriginFleet {
		return location{level: LevelFleet}, nil
	}
	steps := strings.Split(path, ".")
	if len(steps)%2 != 0 || len(steps) > 2*len(pathKeywords) {
		return location{}, errors.Wrapf(ErrNoSuchPath, "%s is not a path such as users.NAME.services.NAME", truncate(path))
	}
	if len(steps) == 2 && steps[0] == "dataCentres" && validName(steps[1]) {
		return location{level: LevelDataCentre, names: steps[1:]}, nil
	}
	p := location{level: Level(len(steps) / 2)}
	for i := 0; i < len(steps); i += 2 {
		word, name := steps[i], steps[i+1]
		if i == 4 && word == "tenants" {
			p.level = LevelTenant
		} else if word != pathKeywords[i/2] {
			return location{}, errors.Wrapf(ErrNoSuchPath, "%s: %s stands where %s is expected", truncate(path), quoteJSON(truncate(word)), pathKeywords[i/2])
		}
		if !validName(name) {
			return location{}, errors.Wrapf(ErrNoSuchPath, "%s: %s is not a name, which has %s", truncate(path), quoteJSON(truncate(name)), nameAllowedText)
		}
		p.names = append(p.names, name)
	}
	return p, nil
}
