package command

import (
	"context"

	"github.com/lovagegap/lovagegap/core/settings"
)

// in brings a data centre back in.
type in struct {
	changeOptions
	Arguments struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"true"`
	} `positional-args:"true"`
}

func (c *in) run(ctx context.Context, s *session) error {
	if err := s.knownDataCentre(ctx, c.Arguments.DataCentre, ""); err != nil {
		return err
	}
	return s.edit(ctx, c.changeOptions, func(text []byte) ([]byte, error) {
		return settings.BringDataCentreIn(text, c.Arguments.DataCentre)
	})
}
