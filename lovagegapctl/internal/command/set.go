package command

import (
	"context"

	"github.com/lovagegap/lovagegap/core/settings"
)

// setCommand sets one value of the tree.
type setCommand struct {
	changeOptions
	Arguments struct {
		Path  string `positional-arg-name:"PATH" description:"level, such as fleet or users.NAME.services.NAME" required:"true"`
		Key   string `positional-arg-name:"KEY" description:"key, such as hedge.ratio" required:"true"`
		Value string `positional-arg-name:"VALUE" description:"value, such as 0.04, 250ms or true" required:"true"`
	} `positional-args:"true"`
}

func (c *setCommand) run(ctx context.Context, s *session) error {
	a := c.Arguments
	value := settings.JSONFromText(a.Path, a.Key, a.Value)
	return s.edit(ctx, c.changeOptions, func(text []byte) ([]byte, error) {
		return settings.Set(text, a.Path, a.Key, value)
	})
}
