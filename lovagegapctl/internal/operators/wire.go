package operators

import (
	"encoding/json"
	"time"

	"github.com/lovagegap/lovagegap/core/settings"
)

// Document is a settings tree with its revision and the change that put it in force.
type Document struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"changeId"`
	Author   string          `json:"author"`
	Tree     json.RawMessage `json:"tree"`
}

// Effective lists the values in force at a path, own and inherited.
type Effective struct {
	Path     string           `json:"path"`
	Revision uint64           `json:"revision"`
	Values   []settings.Value `json:"values"`
}

// Change is a tree to apply if ExpectedRevision is still in force. A change id is
// applied at most once.
type Change struct {
	ExpectedRevision uint64          `json:"expect"`
	ChangeID         string          `json:"changeId"`
	Author           string          `json:"author"`
	Tree             json.RawMessage `json:"tree"`
}

// Applied is the result of a change that was applied.
type Applied struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"changeId"`
}

// Rollout lists which daemons have the current revision in force.
type Rollout struct {
	Revision uint64          `json:"revision"`
	Daemons  []RolloutDaemon `json:"daemons"`
}

// RolloutDaemon is the revision that one daemon has in force.
type RolloutDaemon struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Lags       bool   `json:"lags"`
}

// Fleet lists the daemons as one of them sees them.
type Fleet struct {
	Self    string   `json:"self"`
	Members []Member `json:"members"`
}

// Member is a daemon in the membership table. Callers, Peers and Operators are the
// addresses (HOST:PORT) of its ports; Operators is empty if the daemon that answers
// does not report it.
type Member struct {
	ID          string  `json:"id"`
	DataCentre  string  `json:"dataCentre"`
	Region      string  `json:"region"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	Callers     string  `json:"callers"`
	Peers       string  `json:"peers"`
	Operators   string  `json:"operators,omitempty"`
	Revision    uint64  `json:"revision"`
	Load        float64 `json:"load"`
}

// Upstreams lists replicas as the daemon that answers sees them.
type Upstreams struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one replica. Latency, Share and Level keep the JSON that the daemon
// sent.
type Upstream struct {
	ID         string          `json:"id"`
	Service    string          `json:"service"`
	DataCentre string          `json:"dataCentre"`
	State      string          `json:"state"`
	Why        string          `json:"why"`
	Latency    json.RawMessage `json:"latency"`
	InFlight   int             `json:"inFlight"`
	Share      json.RawMessage `json:"share"`
	Level      json.RawMessage `json:"level"`
}

// Events lists events of one daemon.
type Events struct {
	Daemon string  `json:"daemon"`
	Events []Event `json:"events"`
}

// Event is one entry of the journal of a daemon. Sequence numbers increase within
// that daemon.
type Event struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Subject  string    `json:"subject"`
	Cause    string    `json:"cause"`
}

// Metrics maps the names of metrics to the values of their fields.
type Metrics map[string]map[string]any

// problemsReply is the body of a reply with status 422.
type problemsReply struct {
	Problems []settings.Problem `json:"problems"`
}

// errorReply is the body of a reply with another error status. Current is set only
// for a conflict.
type errorReply struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Current *Document `json:"current"`
}
