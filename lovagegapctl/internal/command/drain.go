package command

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// drainCommand drains one daemon. It requires exactly one address, since the client
// would otherwise drain the next daemon if the first one does not answer.
type drainCommand struct{}

func (*drainCommand) run(ctx context.Context, s *session) error {
	if len(s.Addresses) != 1 {
		return errors.Mark(errors.New("drain requires exactly one --address"), errUsage)
	}
	if err := s.client.Drain(ctx); err != nil {
		return err
	}
	reply := map[string]string{"address": s.Addresses[0], "state": "draining"}
	return s.print(reply, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s is draining\n", s.Addresses[0]) })
}
