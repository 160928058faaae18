package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// errLagging means that daemons lag behind after the time of --wait.
var errLagging = errors.New("settings not in force on every daemon")

// rolloutPollInterval is a tenth of the 5 s within which settings are in force on every
// daemon.
const rolloutPollInterval = 500 * time.Millisecond

// rolloutCommand shows which daemons have the settings in force.
type rolloutCommand struct {
	Wait time.Duration `long:"wait" description:"time to wait until every daemon has the settings in force; without it, the state is shown at once"`
}

func (c *rolloutCommand) run(ctx context.Context, s *session) error {
	reply, err := s.client.Rollout(ctx)
	for waited := time.Duration(0); waited < c.Wait && (err != nil || countLagging(reply) > 0); waited += rolloutPollInterval {
		if sleepErr := s.Sleep(ctx, rolloutPollInterval); sleepErr != nil {
			return sleepErr
		}
		reply, err = s.client.Rollout(ctx)
	}
	if err != nil {
		return err
	}
	if err := s.print(reply, func(w io.Writer) { writeRollout(w, reply) }); err != nil {
		return err
	}
	if n := countLagging(reply); c.Wait > 0 && n > 0 {
		return errors.Wrapf(errLagging, "%d of %d daemons lag after %v", n, len(reply.Daemons), c.Wait)
	}
	return nil
}

// countLagging returns the number of daemons that do not have the settings in force.
func countLagging(r operators.Rollout) int {
	n := 0
	for _, d := range r.Daemons {
		if d.Lags {
			n++
		}
	}
	return n
}

func writeRollout(w io.Writer, r operators.Rollout) {
	writeRow(w, "DAEMON", "DATA CENTRE", "STATE", "REVISION", "LAGS")
	for _, d := range r.Daemons {
		lags := ""
		if d.Lags {
			lags = "lags"
		}
		writeRow(w, d.ID, d.DataCentre, d.State, d.Revision, lags)
	}
	_, _ = fmt.Fprintf(w, "revision %d: %d of %d daemons\n", r.Revision, len(r.Daemons)-countLagging(r), len(r.Daemons))
}
