package operators

import (
	"encoding/json"

	"github.com/lovagegap/lovagegap/core/settings"
)

// Document is a settings document. It has no tree in the reply to a change.
type Document struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"changeId"`
	Author   string          `json:"author"`
	Tree     json.RawMessage `json:"tree,omitempty"`
}

func newDocument(d settings.Document) Document {
	tree := json.RawMessage(d.Text())
	if len(tree) == 0 {
		tree = json.RawMessage("{}")
	}
	return Document{Revision: d.Revision(), ChangeID: d.ChangeID(), Author: d.Author(), Tree: tree}
}

// EffectiveSettings lists the values in force at one path of the settings tree.
type EffectiveSettings struct {
	Path     string  `json:"path"`
	Revision uint64  `json:"revision"`
	Values   []Value `json:"values"`
}

// Value is one effective value. Origin is the level of the tree that set it.
type Value struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Origin string          `json:"origin"`
}

// Problem is one invalid value or unknown key in a settings tree. Allowed describes
// the valid values.
type Problem struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// Rollout lists the settings revision in force on this daemon and on each daemon of
// the fleet.
type Rollout struct {
	Revision uint64          `json:"revision"`
	Daemons  []RolloutDaemon `json:"daemons"`
}

// RolloutDaemon is the settings revision of one daemon. Lags is set if the revision
// is unknown or below that of the replying daemon, or the same with another document.
type RolloutDaemon struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Lags       bool   `json:"lags"`
}

// Fleet lists the members of the fleet as daemon Self sees them.
type Fleet struct {
	Self    string   `json:"self"`
	Members []Member `json:"members"`
}

// Member is one daemon of the fleet. Callers and Peers are its addresses for them,
// Revision is that of its settings.
type Member struct {
	ID          string  `json:"id"`
	DataCentre  string  `json:"dataCentre"`
	Region      string  `json:"region"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	Callers     string  `json:"callers"`
	Peers       string  `json:"peers"`
	Revision    uint64  `json:"revision"`
	Load        float64 `json:"load"`
}

// Upstream is one replica as this daemon sees it. Why is the cause of the state,
// Latency a duration in Go's notation, Share this daemon's share of the replica's
// connections, and Level the concurrency of the whole fleet at it during its cold
// start, 0 outside it.
type Upstream struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Why        string `json:"why"`
	Latency    string `json:"latency"`
	InFlight   int    `json:"inFlight"`
	Share      int    `json:"share"`
	Level      int    `json:"level"`
}

// Event is one event of the daemon's journal. At is in RFC 3339 with nanoseconds.
type Event struct {
	Sequence uint64 `json:"sequence"`
	At       string `json:"at"`
	Kind     string `json:"kind"`
	Subject  string `json:"subject"`
	Cause    string `json:"cause"`
}

// applyRequest is the body of /v1/settings/apply. Expect is the revision that the
// document replaces.
type applyRequest struct {
	Expect   *uint64         `json:"expect"`
	ChangeID string          `json:"changeId"`
	Author   string          `json:"author"`
	Tree     json.RawMessage `json:"tree"`
}

type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newProblems(err error) []Problem {
	var list []Problem
	for _, p := range settings.Problems(err) {
		list = append(list, Problem{Path: p.Path(), Problem: p.Text(), Allowed: p.Allowed()})
	}
	return list
}
