package callers

import (
	"encoding/json"

	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// wireRequest is the body of a query. Deadline is a duration such as 250ms, from the
// arrival of the request. Idempotent is true by default.
type wireRequest struct {
	Query       json.RawMessage `json:"query"`
	Deadline    string          `json:"deadline"`
	Class       string          `json:"class"`
	Tenant      string          `json:"tenant"`
	RequestID   string          `json:"requestId"`
	Idempotent  *bool           `json:"idempotent"`
	Ticket      string          `json:"ticket"`
	MinCoverage *float64        `json:"minCoverage"`
	Explain     bool            `json:"explain"`
}

// wireAnswer is the reply to a query. Elapsed is a duration.
type wireAnswer struct {
	RequestID        string           `json:"requestId"`
	Snapshot         snapshot.Version `json:"snapshot"`
	Coverage         wireCoverage     `json:"coverage"`
	Partial          bool             `json:"partial"`
	Good             bool             `json:"good"`
	SettingsRevision uint64           `json:"settingsRevision"`
	Elapsed          string           `json:"elapsed"`
	Parts            []wirePart       `json:"parts"`
	Explain          *wireExplanation `json:"explain,omitempty"`
}

// wireCoverage states which shards answered. Fraction is that of the asked shards
// that are covered, from 0 to 1.
type wireCoverage struct {
	Known    bool             `json:"known"`
	Asked    int              `json:"asked"`
	Covered  int              `json:"covered"`
	Fraction float64          `json:"fraction"`
	Missing  []snapshot.Shard `json:"missing"`
}

type wirePart struct {
	Shard snapshot.Shard  `json:"shard"`
	Data  json.RawMessage `json:"data"`
}

// wireExplanation states which attempts were made for a query, with their number by
// purpose and the steps in order.
type wireExplanation struct {
	Daemon    string     `json:"daemon"`
	Sent      int        `json:"sent"`
	Hedges    int        `json:"hedges"`
	Retries   int        `json:"retries"`
	Restarts  int        `json:"restarts"`
	Late      int        `json:"late"`
	Cancelled int        `json:"cancelled"`
	Steps     []wireStep `json:"steps"`
}

// wireStep is one step of a query. At is the time since the start of the query.
type wireStep struct {
	At       string         `json:"at"`
	Shard    snapshot.Shard `json:"shard"`
	Upstream string         `json:"upstream,omitempty"`
	Event    string         `json:"event"`
	Reason   string         `json:"reason,omitempty"`
}

// wireError is the body of every refusal. Answer is set if the query was answered
// below the minimum coverage.
type wireError struct {
	Error  wireErrorBody `json:"error"`
	Answer *wireAnswer   `json:"answer,omitempty"`
}

type wireErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
	Owner   string `json:"owner,omitempty"`
	Address string `json:"address,omitempty"`
}

// wireTicket is the reply to a request for a ticket. Expires is the time from now
// until the ticket expires.
type wireTicket struct {
	Ticket  string `json:"ticket"`
	Expires string `json:"expires"`
}

// wireAddresses is the reply to a request for entry addresses. Lifetime is the time
// after which the caller requests new ones.
type wireAddresses struct {
	Addresses []string `json:"addresses"`
	Lifetime  string   `json:"lifetime"`
}

func newWireCoverage(c snapshot.Coverage) wireCoverage {
	return wireCoverage{
		Known: c.Known(), Asked: c.Total(), Covered: c.Covered(),
		Fraction: c.Fraction(), Missing: c.Missing(),
	}
}

func newWireParts(parts []query.Part) []wirePart {
	wire := make([]wirePart, 0, len(parts))
	for _, p := range parts {
		wire = append(wire, wirePart{Shard: p.Shard(), Data: p.Data()})
	}
	return wire
}

func newWireExplanation(daemon string, answer *query.Answer) *wireExplanation {
	wire := &wireExplanation{
		Daemon: daemon, Sent: answer.Sent(), Hedges: answer.Hedges(), Retries: answer.Retries(),
		Restarts: answer.Restarts(), Late: answer.LateResults(), Cancelled: answer.Cancelled(),
	}
	for _, s := range answer.Steps() {
		wire.Steps = append(wire.Steps, wireStep{
			At: s.At().Duration().String(), Shard: s.Shard(), Upstream: string(s.Upstream()),
			Event: s.Event(), Reason: s.Reason(),
		})
	}
	return wire
}
