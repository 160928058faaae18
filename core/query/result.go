package query

import (
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// UpstreamResult returns the kind and latency with which the exchange ended.
func (r AttemptResult) UpstreamResult() upstream.Result { return r.result }

// Shard returns the shard that the upstream stated.
func (r AttemptResult) Shard() snapshot.Shard { return r.shard }

// Version returns the snapshot version that the upstream stated.
func (r AttemptResult) Version() snapshot.Version { return r.version }

// Data returns the body of the response, or nil if there was none.
func (r AttemptResult) Data() []byte { return r.data }
