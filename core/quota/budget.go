package quota

// Budget is a token bucket that is filled by regular work instead of by time,
// so that extra work stays a fixed fraction of regular work at any load. The
// zero value has the default ratio and burst. It is not safe for concurrent
// use.
type Budget struct {
	ratio       float64
	burst       float64
	tokens      float64
	burstRounds float64
	configured  bool
	started     bool
}

// Defaults of a Budget that was not configured.
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// Configure sets the tokens earned by one regular request and the most tokens
// that are kept. Tokens above the new burst are lost.
func (b *Budget) Configure(ratio, burst float64) {
	b.ratio, b.burst = ratio, burst
	b.configured = true
	b.tokens = min(b.tokens, burst)
}

// SetBurstRounds raises the burst, unless it is zero, to what so many calls of
// Earn bring in. A burst below a few wide fan-outs loses tokens whenever
// queries arrive close together and lacks them afterwards.
func (b *Budget) SetBurstRounds(rounds float64) { b.burstRounds = rounds }

// Earn adds the tokens of n regular requests.
func (b *Budget) Earn(n int) {
	ratio, burst := b.limits()
	earned := ratio * float64(n)
	if burst > 0 {
		burst = max(burst, b.burstRounds*earned)
	}
	b.tokens = min(b.tokens+earned, burst)
}

// Take removes cost tokens if they are there and reports whether they were.
func (b *Budget) Take(cost float64) bool {
	b.limits()
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Tokens returns the tokens left.
func (b *Budget) Tokens() float64 {
	b.limits()
	return b.tokens
}

// limits applies the defaults and, on first use, a start of one token, so that
// the first requests of a new daemon may be retried. A full bucket would let
// retries exceed their ratio while every upstream fails.
func (b *Budget) limits() (ratio, burst float64) {
	if !b.configured {
		b.ratio, b.burst = DefaultRatio, DefaultBurst
		b.configured = true
	}
	if !b.started {
		b.started = true
		b.tokens = min(1, b.burst)
	}
	return b.ratio, b.burst
}
