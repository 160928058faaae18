package command

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
)

// outCommand takes a data centre out of service.
type outCommand struct {
	changeOptions
	Force     bool `long:"force" description:"accept a data centre that is neither in the settings nor in the fleet"`
	Arguments struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"true"`
	} `positional-args:"true"`
}

func (c *outCommand) run(ctx context.Context, s *session) error {
	name := c.Arguments.DataCentre
	if !c.Force {
		if err := s.requireKnownDataCentre(ctx, name, "; use --force to take it out anyway"); err != nil {
			return err
		}
	}
	return s.edit(ctx, c.changeOptions, func(text []byte) ([]byte, error) {
		return settings.TakeDataCentreOut(text, name)
	})
}

// requireKnownDataCentre returns an error if the name is neither in the settings nor in
// the fleet, since a misspelt name would leave the intended data centre in service
// without an error. The hint is appended to the message.
func (s *session) requireKnownDataCentre(ctx context.Context, name, hint string) error {
	var known []string
	if document, err := s.client.Settings(ctx); err == nil {
		if tree, err := settings.Parse(document.Tree); err == nil {
			known = tree.DataCentres()
		}
	}
	if slices.Contains(known, name) {
		return nil
	}
	fleet, err := s.client.Fleet(ctx)
	if err != nil {
		return err
	}
	for _, m := range fleet.Members {
		known = append(known, m.DataCentre)
	}
	if slices.Contains(known, name) {
		return nil
	}
	slices.Sort(known)
	return errors.Mark(errors.Newf("unknown data centre %s; known are %s%s",
		name, strings.Join(slices.Compact(known), ", "), hint), errUsage)
}
