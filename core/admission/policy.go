package admission

// Defaults of a Policy and of an Item.
const (
	DefaultConcurrency = 256
	DefaultMaxWaiting  = 512
	DefaultPriority    = 50
)

// Policy holds the settings of a queue. The zero value has the defaults of the
// settings tree and a fixed concurrency.
type Policy struct {
	concurrency   int
	maxWaiting    int
	maxWaitingSet bool
	adaptive      bool
}

// WithConcurrency returns the policy with the most items that run at a time.
func (p Policy) WithConcurrency(limit int) Policy {
	p.concurrency = limit
	return p
}

// WithMaxWaiting returns the policy with the most items that wait; zero means
// that an item runs at once or is refused.
func (p Policy) WithMaxWaiting(limit int) Policy {
	p.maxWaiting, p.maxWaitingSet = max(limit, 0), true
	return p
}

// WithAdaptive returns the policy with a concurrency that follows the service
// time between one and the limit.
func (p Policy) WithAdaptive(enabled bool) Policy {
	p.adaptive = enabled
	return p
}

// Concurrency returns the most items that run at a time.
func (p Policy) Concurrency() int {
	if p.concurrency > 0 {
		return p.concurrency
	}
	return DefaultConcurrency
}

// MaxWaiting returns the most items that wait.
func (p Policy) MaxWaiting() int {
	if p.maxWaitingSet {
		return p.maxWaiting
	}
	return DefaultMaxWaiting
}

// Adaptive reports whether the concurrency follows the service time.
func (p Policy) Adaptive() bool { return p.adaptive }
