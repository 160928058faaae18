package command

import (
	"context"
	"fmt"
	"io"
)

// fleetCommand lists the daemons as one of them sees them.
type fleetCommand struct{}

func (*fleetCommand) run(ctx context.Context, s *session) error {
	reply, err := s.client.Fleet(ctx)
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) {
		writeRow(w, "DAEMON", "DATA CENTRE", "REGION", "STATE", "INCARNATION", "CALLERS", "PEERS", "REVISION", "LOAD")
		for _, m := range reply.Members {
			writeRow(w, m.ID, m.DataCentre, m.Region, m.State, m.Incarnation, m.Callers, m.Peers, m.Revision,
				fmt.Sprintf("%.2f", m.Load))
		}
		_, _ = fmt.Fprintln(w, "as seen by", replaceControlCharacters(reply.Self))
	})
}
