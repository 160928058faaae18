package command

import (
	"context"

	"github.com/lovagegap/lovagegap/core/settings"
)

// inCommand brings a data centre back into service.
type inCommand struct {
	changeOptions
	Arguments struct {
		DataCentre string `positional-arg-name:"DATACENTRE" required:"true"`
	} `positional-args:"true"`
}

func (c *inCommand) run(ctx context.Context, s *session) error {
	if err := s.requireKnownDataCentre(ctx, c.Arguments.DataCentre, ""); err != nil {
		return err
	}
	return s.edit(ctx, c.changeOptions, func(text []byte) ([]byte, error) {
		return settings.BringDataCentreIn(text, c.Arguments.DataCentre)
	})
}
