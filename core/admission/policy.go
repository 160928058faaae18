package admission

// Defaults of a Policy and, for the priority, of an Item.
const (
	DefaultConcurrency = 256
	DefaultMaxWaiting  = 512
	DefaultPriority    = 50
)

// Policy holds the settings of a Queue. The zero value has the defaults of the
// settings tree and a fixed concurrency limit. Its methods return a changed copy.
type Policy struct {
	concurrency   int
	maxWaiting    int
	maxWaitingSet bool
	adaptive      bool
}

// WithConcurrency sets how many items may run concurrently; 0 or less means
// DefaultConcurrency.
func (p Policy) WithConcurrency(limit int) Policy {
	p.concurrency = limit
	return p
}

// WithMaxWaiting sets how many items may wait. With 0 or less an item runs at once
// or is refused.
func (p Policy) WithMaxWaiting(limit int) Policy {
	p.maxWaiting, p.maxWaitingSet = max(limit, 0), true
	return p
}

// WithAdaptive sets whether the concurrency limit adapts to the service time. It
// then stays between 1 and Concurrency.
func (p Policy) WithAdaptive(enabled bool) Policy {
	p.adaptive = enabled
	return p
}

// Concurrency returns how many items may run concurrently.
func (p Policy) Concurrency() int {
	if p.concurrency > 0 {
		return p.concurrency
	}
	return DefaultConcurrency
}

// MaxWaiting returns how many items may wait.
func (p Policy) MaxWaiting() int {
	if p.maxWaitingSet {
		return p.maxWaiting
	}
	return DefaultMaxWaiting
}

// Adaptive reports whether the concurrency limit adapts to the service time.
func (p Policy) Adaptive() bool { return p.adaptive }
