package query

import (
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// UpstreamResult returns how the exchange ended.
func (s AttemptResult) UpstreamResult() upstream.Result { return s.result }

// Shard returns the shard that the upstream stated.
func (s AttemptResult) Shard() snapshot.Shard { return s.shard }

// Version returns the snapshot version that the upstream stated.
func (s AttemptResult) Version() snapshot.Version { return s.version }

// Data returns the sub-answer, or nil if the exchange brought none.
func (s AttemptResult) Data() []byte { return s.data }
