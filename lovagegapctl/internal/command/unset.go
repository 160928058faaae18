package command

import (
	"context"

	"github.com/lovagegap/lovagegap/core/settings"
)

// unsetCommand removes one value from the tree.
type unsetCommand struct {
	changeOptions
	Arguments struct {
		Path string `positional-arg-name:"PATH" description:"level, such as fleet or users.NAME.services.NAME" required:"true"`
		Key  string `positional-arg-name:"KEY" description:"key, such as hedge.ratio" required:"true"`
	} `positional-args:"true"`
}

func (c *unsetCommand) run(ctx context.Context, s *session) error {
	a := c.Arguments
	return s.edit(ctx, c.changeOptions, func(text []byte) ([]byte, error) {
		return settings.Unset(text, a.Path, a.Key)
	})
}
