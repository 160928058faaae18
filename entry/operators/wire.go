package operators

import (
	"encoding/json"

	"github.com/lovagegap/lovagegap/core/settings"
)

// Document is the settings document in JSON.
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

// EffectiveSettings lists the values in force at one path.
type EffectiveSettings struct {
	Path     string  `json:"path"`
	Revision uint64  `json:"revision"`
	Values   []Value `json:"values"`
}

// Value is one effective value and the level that set it.
type Value struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Origin string          `json:"origin"`
}

// Problem is one mistake in a settings tree.
type Problem struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// Rollout tells which settings revision each daemon has in force.
type Rollout struct {
	Revision uint64          `json:"revision"`
	Daemons  []RolloutDaemon `json:"daemons"`
}

// RolloutDaemon is one row of Rollout.
type RolloutDaemon struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Lags       bool   `json:"lags"`
}

// Fleet is the member view of one daemon.
type Fleet struct {
	Self    string   `json:"self"`
	Members []Member `json:"members"`
}

// Member is one row of Fleet.
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

// Upstream is one replica as this daemon sees it.
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

// Event is one entry of the daemon's journal.
type Event struct {
	Sequence uint64 `json:"sequence"`
	At       string `json:"at"`
	Kind     string `json:"kind"`
	Subject  string `json:"subject"`
	Cause    string `json:"cause"`
}

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
