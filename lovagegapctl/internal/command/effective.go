package command

import (
	"context"
	"io"
)

// effectiveCommand shows the values in force at one level, with the levels that set them.
type effectiveCommand struct {
	Arguments struct {
		Path string `positional-arg-name:"PATH" description:"fleet, users.NAME, users.NAME.services.NAME or users.NAME.services.NAME.classes.NAME" required:"true"`
	} `positional-args:"true"`
}

func (c *effectiveCommand) run(ctx context.Context, s *session) error {
	reply, err := s.client.Effective(ctx, c.Arguments.Path)
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) {
		writeRow(w, "KEY", "VALUE", "SET AT")
		for _, v := range reply.Values {
			writeRow(w, v.Key(), formatScalar(v.JSON()), v.Origin())
		}
	})
}
