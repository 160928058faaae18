package daemon

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/operators"
)

// operatorView answers operators' requests from the state of the daemon.
type operatorView struct {
	daemon *Daemon
}

// Rollout returns the settings revision that each daemon is last known to have in
// force, without the daemons that have left or are dead.
func (v *operatorView) Rollout() operators.Rollout {
	_, revision := v.daemon.control.CurrentSettings()
	own, _ := v.daemon.control.SettingsVersion(fleet.ID(v.daemon.configuration.peerAddress))
	reply := operators.Rollout{Revision: revision, Daemons: []operators.RolloutDaemon{}}
	for _, m := range v.daemon.control.Members() {
		if m.State() == fleet.Left || m.State() == fleet.Dead {
			continue
		}
		seen, known := v.daemon.control.SettingsVersion(m.ID())
		reply.Daemons = append(reply.Daemons, operators.RolloutDaemon{
			ID: string(m.ID()), DataCentre: m.DataCentre(), State: m.State().String(),
			Revision: seen.Revision(), Lags: !known || seen.Lags(own, revision),
		})
	}
	return reply
}

// Fleet returns all members as this daemon sees them.
func (v *operatorView) Fleet() operators.Fleet {
	reply := operators.Fleet{Self: v.daemon.configuration.peerAddress, Members: []operators.Member{}}
	for _, m := range v.daemon.control.Members() {
		seen, _ := v.daemon.control.SettingsVersion(m.ID())
		reply.Members = append(reply.Members, operators.Member{
			ID: string(m.ID()), DataCentre: m.DataCentre(), Region: m.Region(), State: m.State().String(),
			Incarnation: m.Incarnation(), Callers: m.CallerAddress(), Peers: m.PeerAddress(),
			Revision: seen.Revision(), Load: m.Load(),
		})
	}
	return reply
}

// Upstreams returns the replicas of a service, or of all services if service is
// empty.
func (v *operatorView) Upstreams(service string) []operators.Upstream {
	var list []operators.Upstream
	for _, s := range v.daemon.services.all() {
		if service != "" && s.Name() != service {
			continue
		}
		s.WithPool(func(_ clock.Millis, p *upstream.Pool) {
			for _, status := range p.Statuses() {
				list = append(list, newUpstream(s.Name(), status))
			}
		})
	}
	return list
}

func newUpstream(service string, s upstream.Status) operators.Upstream {
	return operators.Upstream{
		ID: string(s.Replica().ID()), Service: service, DataCentre: s.Replica().DataCentre(),
		State: string(s.State()), Why: s.Cause(), Latency: s.Latency().Duration().String(),
		InFlight: s.InFlight(), Share: s.ConnectionShare(), Level: s.Level(),
	}
}
