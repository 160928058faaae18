// Package platform is a client of the platform's key-value store and of its list
// of VMs.
//
// The protocol is HTTP with JSON. No other package depends on it, so that it can
// be replaced here. Package platformtest has a fake with the same methods.
//
// # Usage
//
//	client := platform.New("http://127.0.0.1:7000")
//	defer client.Close()
//	vms, err := client.VMs(ctx)
//	value, err := client.Get(ctx, "lovagegap/settings")
//	value, err = client.CompareAndSwap(ctx, "lovagegap/settings", text, value.Revision())
//	if errors.Is(err, platform.ErrConflict) { ... } // value is the current value
//	value, err = client.Watch(ctx, "lovagegap/settings", value.Revision())
package platform

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/entry/body"
)

// Sentinel errors of the platform client.
var (
	// ErrUnavailable means that the platform did not reply, or replied with an
	// error status or a malformed body. A write that returns it did not take
	// effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect,
	// because its reply was lost or says nothing about the write.
	ErrUnknownOutcome = errors.New("unknown outcome of the write to the platform")
	// ErrConflict means that the revision of the key is not the one that the
	// write expected.
	ErrConflict = errors.New("key has another revision than expected")
	// ErrTooLarge means that a value is longer than MaxValueBytes.
	ErrTooLarge = errors.New("value too large for the platform")
)

// MaxValueBytes is the largest value of a key in bytes.
const MaxValueBytes = 1 << 20

const (
	defaultCallTimeout = 5 * time.Second
	defaultPollWait    = 30 * time.Second // for each poll of a watch; below the usual idle timeout of middleboxes
	dialTimeout        = 2 * time.Second
	keepAliveInterval  = 5 * time.Second
	maxIdleConnections = 4
	maxReplyBytes      = 8 << 20
)

// Value is the content of a key with its revision. The zero value stands for a key
// that was never written.
type Value struct {
	data     []byte
	revision uint64
}

// NewValue returns a value with the content data. It keeps data.
func NewValue(data []byte, revision uint64) Value {
	return Value{data: data, revision: revision}
}

// Data returns the content. The caller must not change it.
func (v Value) Data() []byte { return v.data }

// Revision returns the revision, or 0 if the key was never written.
func (v Value) Revision() uint64 { return v.revision }

const entryRole = "entry"

// VM is a VM in the list of the platform, which lags behind the actual state.
type VM struct {
	address    string
	peer       string
	dataCentre string
	region     string
	role       string
	user       string
	service    string
	leaving    bool
}

// Address returns the IP:port at which the VM serves requests.
func (v VM) Address() string { return v.address }

// Peer returns the IP:port for links from other daemons. It is empty for an
// upstream.
func (v VM) Peer() string { return v.peer }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Region returns the region of the data centre.
func (v VM) Region() string { return v.region }

// IsEntry reports whether the VM runs an entry daemon.
func (v VM) IsEntry() bool { return v.role == entryRole }

// Service returns the service of an upstream in the form user/service.
func (v VM) Service() string { return v.user + "/" + v.service }

// Leaving reports whether the platform lists the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// NewEntryVM returns a VM that runs an entry daemon, for tests of other packages.
func NewEntryVM(address, peer, dataCentre, region string) VM {
	return VM{address: address, peer: peer, dataCentre: dataCentre, region: region, role: entryRole}
}

// NewUpstreamVM returns a VM that is an upstream, for tests of other packages.
func NewUpstreamVM(address, dataCentre, region, user, service string) VM {
	return VM{address: address, dataCentre: dataCentre, region: region, role: "upstream", user: user, service: service}
}

// AsLeaving returns a copy of the VM that is listed as leaving.
func (v VM) AsLeaving() VM {
	v.leaving = true
	return v
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	baseURL     string
	callTimeout time.Duration
	pollWait    time.Duration
	http        http.Client
	vmList      taggedList
	invalidVMs  atomic.Int64
}

// New returns a client of the platform at base, such as "http://127.0.0.1:7000".
func New(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: defaultPollWait,
	}
	return &Client{
		baseURL: baseURL, callTimeout: defaultCallTimeout, pollWait: defaultPollWait,
		http: http.Client{Transport: body.StrictTransport(transport)},
	}
}

// SetTimeouts sets the timeout of a call and the time that the platform may hold
// one poll of a watch. It must be called before the first call.
func (c *Client) SetTimeouts(call, poll time.Duration) {
	c.callTimeout, c.pollWait = call, poll
}

// Close closes the idle connections. It does not end calls in progress.
func (c *Client) Close() { c.http.CloseIdleConnections() }
