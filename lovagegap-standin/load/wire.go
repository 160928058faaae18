package load

import (
	"encoding/json"
	"time"
)

type queryRequest struct {
	Query    json.RawMessage `json:"query"`
	Deadline string          `json:"deadline"`
}

type queryReply struct {
	Coverage struct {
		Asked   int `json:"asked"`
		Covered int `json:"covered"`
	} `json:"coverage"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

type addressAdvice struct {
	Addresses []string `json:"addresses"`
	Lifetime  string   `json:"lifetime"`
}

// validFor returns the lifetime of the addresses, at least a second.
func (a addressAdvice) validFor() time.Duration {
	lifetime, err := time.ParseDuration(a.Lifetime)
	if err != nil {
		return time.Second
	}
	return max(lifetime, time.Second)
}

// Summary is the measured outcome for one service.
type Summary struct {
	Service  string         `json:"service"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Complete int            `json:"complete"` // answers that cover every shard
	Dropped  int            `json:"dropped"`  // not sent: too many in flight
	Coverage float64        `json:"coverage"` // mean over the answers
	Errors   map[string]int `json:"errors"`
	Latency  Latency        `json:"latency"`
	Example  string         `json:"example,omitempty"`
}

// Latency is in milliseconds, over answers and errors alike.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}
