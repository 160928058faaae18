// Package settings parses and checks the settings tree, resolves the values that
// its levels inherit, compiles good-answer expressions, encodes the document in
// which the tree is stored, and edits single values of it.
//
// Values are set at four levels, fleet, user, service and class; each inherits
// from the one above. One table of keys drives parsing, checks, effective values,
// help and the operators' page.
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

// Tree is a checked settings tree. It is immutable and safe for concurrent use.
// The zero value is the empty tree, in which every value is the default.
type Tree struct {
	text            []byte
	root            *node
	fleet           *Effective
	users           map[string]*userSettings
	outByDataCentre map[string]bool // key: name of a data centre
	dataCentresOut  []string        // sorted
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

// Text returns the JSON text from which the tree was parsed. The caller must not
// change it.
func (t *Tree) Text() []byte {
	if t.text == nil {
		return []byte("{}")
	}
	return t.text
}

// Effective returns the values in force at the fleet (no names), a user, a service
// or a class, which is given by the names of the user, the service and the class.
// If the tree has no such level, it returns the values of the nearest level above
// and false; a class that the tree does not name therefore has the values of its
// service.
func (t *Tree) Effective(names ...string) (*Effective, bool) {
	if t.fleet == nil {
		return defaults(), len(names) == 0
	}
	if len(names) == 0 {
		return t.fleet, true
	}
	u, ok := t.users[names[0]]
	if !ok {
		return t.fleet, false
	}
	if len(names) == 1 {
		return u.effective, true
	}
	s, ok := u.services[names[1]]
	if !ok {
		return u.effective, false
	}
	if len(names) == 2 {
		return s.effective, true
	}
	c, ok := s.classes[names[2]]
	if !ok {
		return s.effective, false
	}
	return c, len(names) == 3
}

// EffectiveAt returns the values in force at a path such as
// "users.association.services.review-desk". The path of the fleet is "" or
// "fleet". It returns ErrNoSuchPath if the path is malformed, is not in the tree,
// or leads to a tenant or data centre.
func (t *Tree) EffectiveAt(path string) (*Effective, error) {
	loc, err := parseLocation(path)
	if err != nil {
		return nil, err
	}
	if loc.level > LevelClass {
		return nil, errors.Wrapf(ErrNoSuchPath, "%s: tenants and data centres have no effective values", path)
	}
	e, ok := t.Effective(loc.names...)
	if !ok {
		return nil, errors.Wrapf(ErrNoSuchPath, "%s is not in the settings tree", truncate(path))
	}
	return e, nil
}

// Users returns the names of the users in alphabetical order.
func (t *Tree) Users() []string { return slices.Sorted(maps.Keys(t.users)) }

// Services returns the names of the services of a user in alphabetical order.
func (t *Tree) Services(user string) []string {
	u := t.users[user]
	if u == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(u.services))
}

// HasService reports whether the tree names the service.
func (t *Tree) HasService(user, service string) bool { return t.findService(user, service) != nil }

// Classes returns the classes that the tree names for a service, in alphabetical
// order.
func (t *Tree) Classes(user, service string) []string {
	s := t.findService(user, service)
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.classes))
}

// Tenants returns the tenants that the tree names for a service, in alphabetical
// order.
func (t *Tree) Tenants(user, service string) []string {
	s := t.findService(user, service)
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.tenantWeights))
}

// TenantWeight returns the weight of a tenant of a service. It is
// defaultTenantWeight for a tenant that the tree does not name.
func (t *Tree) TenantWeight(user, service, tenant string) float64 {
	if s := t.findService(user, service); s != nil {
		if weight, ok := s.tenantWeights[tenant]; ok {
			return weight
		}
	}
	return defaultTenantWeight
}

// defaultTenantWeight repeats the default of keyTenantWeight in keyTable; a test
// compares the two.
const defaultTenantWeight = 1

// DataCentres returns the data centres that the tree names, in alphabetical order.
func (t *Tree) DataCentres() []string { return slices.Sorted(maps.Keys(t.outByDataCentre)) }

// DataCentresOut returns the data centres that are taken out of service, in
// alphabetical order. The caller must not change the slice.
func (t *Tree) DataCentresOut() []string { return t.dataCentresOut }

// IsDataCentreOut reports whether a data centre is taken out of service.
func (t *Tree) IsDataCentreOut(dataCentre string) bool { return t.outByDataCentre[dataCentre] }

func (t *Tree) findService(user, service string) *serviceSettings {
	u := t.users[user]
	if u == nil {
		return nil
	}
	return u.services[service]
}

// location is a parsed path: a level and the names that lead to it.
type location struct {
	level Level
	names []string // user, service and class or tenant; or data centre
}

// pathKeywords are the steps that precede the names in the path of a class.
var pathKeywords = [...]string{"users", "services", "classes"}

// parseLocation parses a path whose steps alternate between keywords and names,
// separated by dots. Its error is ErrNoSuchPath.
func parseLocation(path string) (location, error) {
	if path == "" || path == OriginFleet {
		return location{level: LevelFleet}, nil
	}
	steps := strings.Split(path, ".")
	if len(steps)%2 != 0 || len(steps) > 2*len(pathKeywords) {
		return location{}, errors.Wrapf(ErrNoSuchPath, "%s does not have the form users.NAME.services.NAME", truncate(path))
	}
	if len(steps) == 2 && steps[0] == "dataCentres" && validName(steps[1]) {
		return location{level: LevelDataCentre, names: steps[1:]}, nil
	}
	loc := location{level: Level(len(steps) / 2)}
	for i := 0; i < len(steps); i += 2 {
		keyword, name := steps[i], steps[i+1]
		if i == 4 && keyword == "tenants" {
			loc.level = LevelTenant
		} else if keyword != pathKeywords[i/2] {
			return location{}, errors.Wrapf(ErrNoSuchPath, "%s: got %s where %s is expected",
				truncate(path), quoteJSON(truncate(keyword)), pathKeywords[i/2])
		}
		if !validName(name) {
			return location{}, errors.Wrapf(ErrNoSuchPath, "%s: %s is not a valid name (%s)",
				truncate(path), quoteJSON(truncate(name)), nameAllowedText)
		}
		loc.names = append(loc.names, name)
	}
	return loc, nil
}
