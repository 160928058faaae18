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

// validFor returns the lifetime of the addresses. It is at least one second, which
// also applies to a malformed lifetime.
func (a addressAdvice) validFor() time.Duration {
	lifetime, err := time.ParseDuration(a.Lifetime)
	if err != nil {
		return time.Second
	}
	return max(lifetime, time.Second)
}

// Summary holds the measurements of one service.
type Summary struct {
	Service  string         `json:"service"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"` // complete or partial answers
	Complete int            `json:"complete"` // answers that cover every shard
	Dropped  int            `json:"dropped"`  // not sent, since too many queries were in flight
	Coverage float64        `json:"coverage"` // mean share of the shards covered, over the answers
	Errors   map[string]int `json:"errors"`   // by error code
	Latency  Latency        `json:"latency"`
	Example  string         `json:"example,omitempty"` // body of the first answer
}

// Latency summarises latencies in milliseconds. Answers and errors both count.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}
