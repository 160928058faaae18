package intake

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// ConnectionBytes is charged for each open connection. It covers the buffers and
	// stacks of the server, and a head and a body of up to CoveredBytes each.
	ConnectionBytes = 24 << 10
	// CoveredBytes is what the head and the body of a request may each take without a
	// reservation, so that an ordinary request is served while no memory is left.
	CoveredBytes = 4 << 10

	// stallGrace is the time without progress after which a connection yields to one that
	// needs its bytes. A well-behaved caller in another region sends a packet every 100 ms
	// at most.
	stallGrace = 250 * clock.Millisecond
	// requestGrace is the time after which a request yields although it makes progress.
	requestGrace = 2 * clock.Second
	// requestAgeWeight is the weight of the age of a request beside its time without
	// progress.
	requestAgeWeight = 0.125
	// stalledRequestWeight is the weight of the waiting time of a connection in the middle of
	// a request against that of an idle one.
	stalledRequestWeight = 4
	// overlapFraction is the part of the bytes by which reservations may exceed the
	// limit while connections that yield still hold theirs.
	overlapFraction = 0.125

	// bytesFraction is the part of the memory that connections may hold. The rest is for
	// the state of the daemon, replies of replicas and the garbage collector, which lets
	// the heap grow to up to twice the live bytes.
	bytesFraction = 0.3
	// replyFraction is the part of the memory that replies of replicas may take while they
	// are read. Their copies may take the same again.
	replyFraction = 0.08
	// maxReadingBytes bounds that part on large machines.
	maxReadingBytes = 32 << 20
	// connectionBytesFraction is the part of those bytes that ConnectionBytes of all
	// connections may take, so that bodies have room whatever the number of connections.
	connectionBytesFraction = 0.6
	// perAddressFraction is the part of the connections of a class that one address may
	// have: a proxy in front of most callers is not restricted, yet others get in.
	perAddressFraction = 0.75
	// minConnections is the least number of connections of a class.
	minConnections = 8
	// minBytes is the least value of Policy.Bytes: a body of the largest limit, while its
	// buffer grows.
	minBytes = 4 << 20

	// Resources that are assumed where none are known: those of the smallest VM in use.
	defaultMemory      = 136_000_000
	defaultDescriptors = 1024
)

// descriptorFractions are the parts of the descriptors that the connections of a class may
// use. The rest is for connections to replicas, to peers and to the store.
var descriptorFractions = [classCount]float64{Callers: 0.42, Peers: 0.2, Operators: 0.05}

// Resources are those of the process. Zero means unknown.
type Resources struct {
	Memory      int64 // bytes
	Descriptors int
}

// Policy bounds the connections of a process.
type Policy struct {
	Bytes       int64 // that all connections may hold beyond ConnectionBytes of each
	Connections [classCount]int
	PerAddress  [classCount]int
	memory      int64
}

// NewPolicy returns the default policy for a process.
func NewPolicy(r Resources) Policy {
	if r.Memory <= 0 {
		r.Memory = defaultMemory
	}
	if r.Descriptors <= 0 {
		r.Descriptors = defaultDescriptors
	}
	p := Policy{memory: r.Memory}
	bytes := float64(r.Memory) * bytesFraction
	byMemory := bytes * connectionBytesFraction / ConnectionBytes
	all := 0.0
	for _, fraction := range descriptorFractions {
		all += fraction
	}
	for class, fraction := range descriptorFractions {
		count := min(float64(r.Descriptors)*fraction, byMemory*fraction/all)
		p.Connections[class] = max(minConnections, int(count))
		p.PerAddress[class] = max(minConnections, int(count*perAddressFraction))
		bytes -= float64(p.Connections[class]) * ConnectionBytes
	}
	p.Bytes = max(minBytes, int64(bytes))
	return p
}

// ReplyBytes returns the bytes that replies of replicas may take while they are read and,
// beyond what connections may hold, while they are sent to callers. What callers don't read
// counts as held by their connections, which yield first.
func (p Policy) ReplyBytes() int64 {
	return p.Bytes + min(maxReadingBytes, int64(float64(p.memory)*replyFraction))
}

// WithCallers returns the policy with other limits for callers' connections. Zero keeps the
// default.
func (p Policy) WithCallers(connections, perAddress int) Policy {
	if connections > 0 {
		p.Connections[Callers] = connections
		p.PerAddress[Callers] = max(1, int(float64(connections)*perAddressFraction))
	}
	if perAddress > 0 {
		p.PerAddress[Callers] = perAddress
	}
	return p
}
