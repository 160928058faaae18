package quota

// Budget is a token bucket that regular requests fill instead of time, so that
// extra requests (retries, hedges) stay a fixed fraction of regular ones at any
// load. The zero value has DefaultRatio and DefaultBurst. A Budget is not safe
// for concurrent use.
type Budget struct {
	ratio       float64 // tokens per regular request
	burst       float64 // maximum number of tokens
	tokens      float64 // left in the bucket
	burstRounds float64 // see SetBurstRounds; 0 for none
	configured  bool    // ratio and burst are set
	started     bool    // the initial token has been added
}

// Defaults of a Budget that is not configured.
const (
	DefaultRatio = 0.1 // tokens per regular request
	DefaultBurst = 10  // tokens
)

// Configure sets ratio, the tokens that a regular request earns, and burst, the
// maximum number of tokens that are kept. Tokens above the new burst are lost.
func (b *Budget) Configure(ratio, burst float64) {
	b.ratio, b.burst = ratio, burst
	b.configured = true
	b.tokens = min(b.tokens, burst)
}

// SetBurstRounds raises the burst, unless it is zero, to at least the tokens
// that the given number of calls of RecordRegular add, each call with as many
// requests as the latest. With a burst below a few wide fan-outs, tokens are
// lost whenever queries arrive close together and are missing afterwards.
func (b *Budget) SetBurstRounds(rounds float64) { b.burstRounds = rounds }

// RecordRegular adds the tokens of n regular requests.
func (b *Budget) RecordRegular(n int) {
	ratio, burst := b.limits()
	earned := ratio * float64(n)
	if burst > 0 {
		burst = max(burst, b.burstRounds*earned)
	}
	b.tokens = min(b.tokens+earned, burst)
}

// Take removes cost tokens if that many are left and reports whether it did.
func (b *Budget) Take(cost float64) bool {
	b.limits()
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Tokens returns the number of tokens left.
func (b *Budget) Tokens() float64 {
	b.limits()
	return b.tokens
}

// limits returns the ratio and the burst. On first use it applies the defaults
// and puts one token into the bucket, so that a request of a new daemon can be
// retried; a full bucket would let retries exceed their ratio while every
// upstream fails.
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
