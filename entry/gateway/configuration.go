package gateway

import (
	"bytes"
	"encoding/json"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/allowance"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/intake"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/release"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/connlimit"
)

// ErrConfiguration is returned for a process configuration that is unreadable or
// invalid. The message names the field, its value and what is allowed.
var ErrConfiguration = errors.New("invalid process configuration")

// ProcessConfig is the process configuration of a gateway, a JSON file. Unknown
// fields are ignored. Addresses are IP:port.
type ProcessConfig struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Callers    string `json:"callers"`   // address for callers
	Readiness  string `json:"readiness"` // address for readiness checks
	Addresses  string `json:"addresses"` // address for requests for entry addresses
	Peers      string `json:"peers"`     // address for other daemons
	// PeersListen is the address on which the daemon listens for other daemons, if it is
	// not Peers, as behind a port mapping.
	PeersListen string   `json:"peersListen"`
	Store       string   `json:"store"`   // address of the store
	Metrics     string   `json:"metrics"` // address for metrics as text; none if empty
	Seeds       []string `json:"seeds"`
	Key         string   `json:"key"` // shared by the daemons of a deployment
	// GraceS is the time in seconds from the stop signal to the exit.
	GraceS float64 `json:"graceS"`
	// LifetimeS is the time in seconds for which callers may use addresses.
	LifetimeS float64     `json:"lifetimeS"`
	Repeats   RetryBudget `json:"repeats"`
	// Limits, CallerLimits, Tenants and Releases are optional.
	Limits       ResourceLimits  `json:"limits"`
	CallerLimits CallerLimits    `json:"callerLimits"`
	Tenants      TenantSettings  `json:"tenants"`
	Releases     ReleaseSettings `json:"releases"`
	Log          LogSettings     `json:"log"`
}

// ResourceLimits describes the VM of the daemon. A value of zero means unknown.
type ResourceLimits struct {
	MemoryMb       float64 `json:"memoryMb"`
	MaxDescriptors int     `json:"maxDescriptors"`
	CPUShare       float64 `json:"cpuShare"` // share of each core
	Cores          int     `json:"cores"`
}

// CallerLimits bounds the connections of callers. A value of zero stands for the default,
// which follows from Limits and the configuration in force.
type CallerLimits struct {
	Connections           int     `json:"connections"`
	ConnectionsPerAddress int     `json:"connectionsPerAddress"`
	HeadLines             int     `json:"headLines"`
	BlankLines            int     `json:"blankLines"`    // before a request
	ChunkOverhead         int     `json:"chunkOverhead"` // framing bytes per byte of a body
	StallMs               float64 `json:"stallMs"`       // without a byte of an answer read
}

// TenantSettings bounds the revocation of tenants' keys and the excess over their
// fleet-wide limits. RevokeMs of zero sets no bound.
type TenantSettings struct {
	// StrictRevocation means that RevokeMs also holds for a daemon that has lost
	// contact with the store.
	StrictRevocation bool    `json:"strictRevocation"`
	RevokeMs         float64 `json:"revokeMs"`
	// In each window of WindowS, a tenant may send (rate * WindowS + burst) *
	// (1 + Overshoot) + Slack requests.
	WindowS   float64 `json:"windowS"`
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
}

// ReleaseSettings bounds the requests that a new version of a service receives before
// it is found good: ExposureShare of all requests of the service plus ExposureSlack. A
// bad version receives none later than RollbackMs after the evidence against it.
type ReleaseSettings struct {
	ExposureShare float64 `json:"exposureShare"`
	ExposureSlack float64 `json:"exposureSlack"`
	RollbackMs    float64 `json:"rollbackMs"`
}

// RetryBudget limits the retries and hedges of a service over all daemons: within
// any window, Ratio times the regular requests plus Slack.
type RetryBudget struct {
	Ratio   float64 `json:"ratio"`
	Slack   float64 `json:"slack"`
	WindowS float64 `json:"windowS"`
}

// LogSettings selects what is logged.
type LogSettings struct {
	// Level is 0 for failures and changes of state, 1 to add a sample of the routine
	// decisions, and 2 to add details.
	Level int `json:"level"`
	// Sample is the number of routine decisions per one that is logged; 0 stands for
	// 100.
	Sample int `json:"sample"`
}

// LoadProcessConfig reads and validates the process configuration in a file. Errors
// wrap ErrConfiguration.
func LoadProcessConfig(path string) (ProcessConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return ProcessConfig{}, errors.Wrapf(ErrConfiguration, "%v", err)
	}
	return ParseProcessConfig(text)
}

// ParseProcessConfig decodes and validates a process configuration. Errors wrap
// ErrConfiguration.
func ParseProcessConfig(text []byte) (ProcessConfig, error) {
	var p ProcessConfig
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&p); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return p, errors.Wrapf(ErrConfiguration, "%s: must be a %s, not a %s", typeErr.Field, typeErr.Type, typeErr.Value)
		}
		return p, errors.Wrapf(ErrConfiguration, "not JSON: %v", err)
	}
	return p, p.validate()
}

func (p *ProcessConfig) validate() error {
	addresses := []struct{ field, value string }{
		{"callers", p.Callers}, {"readiness", p.Readiness}, {"addresses", p.Addresses},
		{"peers", p.Peers}, {"store", p.Store},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Wrapf(ErrConfiguration, "%s: %q must be IP:port", a.field, a.value)
		}
	}
	if _, _, err := net.SplitHostPort(p.PeersListen); p.PeersListen != "" && err != nil {
		return errors.Wrapf(ErrConfiguration, "peersListen: %q must be IP:port or empty", p.PeersListen)
	}
	for i, seed := range p.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return errors.Wrapf(ErrConfiguration, "seeds[%d]: %q must be IP:port", i, seed)
		}
	}
	for _, number := range []struct {
		field string
		value float64
	}{
		{"limits.memoryMb", p.Limits.MemoryMb}, {"limits.maxDescriptors", float64(p.Limits.MaxDescriptors)},
		{"limits.cpuShare", p.Limits.CPUShare}, {"limits.cores", float64(p.Limits.Cores)},
		{"tenants.revokeMs", p.Tenants.RevokeMs}, {"tenants.windowS", p.Tenants.WindowS},
		{"tenants.overshoot", p.Tenants.Overshoot}, {"tenants.slack", p.Tenants.Slack},
		{"releases.exposureShare", p.Releases.ExposureShare}, {"releases.exposureSlack", p.Releases.ExposureSlack},
		{"releases.rollbackMs", p.Releases.RollbackMs},
		{"callerLimits.connections", float64(p.CallerLimits.Connections)},
		{"callerLimits.connectionsPerAddress", float64(p.CallerLimits.ConnectionsPerAddress)},
		{"callerLimits.headLines", float64(p.CallerLimits.HeadLines)}, {"callerLimits.blankLines", float64(p.CallerLimits.BlankLines)},
		{"callerLimits.chunkOverhead", float64(p.CallerLimits.ChunkOverhead)}, {"callerLimits.stallMs", p.CallerLimits.StallMs},
	} {
		if number.value < 0 {
			return errors.Wrapf(ErrConfiguration, "%s: %v must not be negative", number.field, number.value)
		}
	}
	switch {
	case p.Name == "":
		return errors.Wrap(ErrConfiguration, "name: must not be empty")
	case p.DataCentre == "":
		return errors.Wrap(ErrConfiguration, "dataCentre: must not be empty")
	case !(p.GraceS > 0 && p.GraceS <= 3600):
		return errors.Wrapf(ErrConfiguration, "graceS: %v must be above 0 and at most 3600 seconds", p.GraceS)
	case !(p.LifetimeS > 0 && p.LifetimeS <= 600):
		return errors.Wrapf(ErrConfiguration, "lifetimeS: %v must be above 0 and at most 600 seconds", p.LifetimeS)
	case !(p.Repeats.Ratio >= 0 && p.Repeats.Ratio <= 1):
		return errors.Wrapf(ErrConfiguration, "repeats.ratio: %v must be between 0 and 1", p.Repeats.Ratio)
	case !(p.Repeats.Slack >= 0):
		return errors.Wrapf(ErrConfiguration, "repeats.slack: %v must not be negative", p.Repeats.Slack)
	case !(p.Repeats.WindowS > 0):
		return errors.Wrapf(ErrConfiguration, "repeats.windowS: %v must be above 0 seconds", p.Repeats.WindowS)
	case p.Log.Sample < 0:
		return errors.Wrapf(ErrConfiguration, "log.sample: %d must not be negative", p.Log.Sample)
	case p.Log.Level < 0 || p.Log.Level > 2:
		return errors.Wrapf(ErrConfiguration, "log.level: %d must be 0, 1 or 2", p.Log.Level)
	}
	return nil
}

// maxLifetimeFraction is the fraction of the grace period that bounds the lifetime of
// addresses. It is below closeConnectionsFraction, so that a daemon still accepts
// connections when the addresses that callers got before its stop expire.
const maxLifetimeFraction = 0.7

// Config returns the part of the process configuration that the gateway uses. The
// names of headers and the prefixes of the store are left empty.
func (p *ProcessConfig) Config() Config {
	maxProofAge := clock.Millis(0)
	if p.Tenants.StrictRevocation {
		maxProofAge = mirror.MaxProofAge(clock.Millis(p.Tenants.RevokeMs))
	}
	return Config{
		Name: p.Name, DataCentre: p.DataCentre, Region: p.Region, CallerAddress: p.Callers, PeerAddress: p.Peers,
		PeerListenAddress: p.PeersListen, Seeds: p.Seeds, Key: []byte(p.Key),
		RetryBudget: replica.BudgetPolicy{
			Ratio: p.Repeats.Ratio, Slack: p.Repeats.Slack, Window: clock.Second * clock.Millis(p.Repeats.WindowS),
		},
		Allowances: allowance.Policy{
			Window: clock.Second * clock.Millis(p.Tenants.WindowS), Overshoot: p.Tenants.Overshoot, Slack: p.Tenants.Slack,
		},
		MaxProofAge: maxProofAge,
		GracePeriod: clock.Second * clock.Millis(p.GraceS),
		AddressLifetime: min(clock.Second*clock.Millis(p.LifetimeS),
			clock.Second*clock.Millis(p.GraceS)*maxLifetimeFraction),
		Releases: release.Settings{
			ExposureShare: p.Releases.ExposureShare, ExposureSlack: p.Releases.ExposureSlack,
			RollbackTime: clock.Millis(p.Releases.RollbackMs),
		},
		Resources: intake.Resources{Memory: int64(p.Limits.MemoryMb * 1e6), Descriptors: p.Limits.MaxDescriptors},
		CallerLimits: connlimit.Settings{
			Connections: p.CallerLimits.Connections, ConnectionsPerAddress: p.CallerLimits.ConnectionsPerAddress,
			HeadLines: p.CallerLimits.HeadLines, BlankLines: p.CallerLimits.BlankLines,
			ChunkOverhead: p.CallerLimits.ChunkOverhead, StallTimeout: clock.Millis(p.CallerLimits.StallMs),
		},
	}
}
