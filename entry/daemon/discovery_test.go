package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/inventory"
)

// newDiscoveringDaemon returns a daemon with the URL of a platform that the test starts.
func newDiscoveringDaemon(t *testing.T, platformURL string) *Daemon {
	d := newDaemon(Configuration{
		name: "d", dataCentre: "dc-0", region: "r-0", callerAddress: "10.0.0.0:80", operatorAddress: "10.0.0.0:81",
		peerAddress: "10.0.0.0:7200", platformURL: platformURL, peerKeys: [][]byte{[]byte("0123456789abcdef")},
	}, logr.Discard())
	t.Cleanup(func() { d.close([]*http.Server{{}}) })
	return d
}

// Guards against queries to an upstream that has left: a list of VMs that was requested
// before, and arrives after a peer has published the removal, must not list it again.
func TestDelayedVMListDoesNotListUpstreamThatLeft(t *testing.T) {
	const listed = `[{"address":"10.0.0.9:80","dataCentre":"dc-0","region":"r-0","role":"upstream","user":"u","service":"s"}]`
	requested, send := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(requested)
		<-send
		_, _ = io.WriteString(w, listed)
	}))
	defer server.Close()
	d := newDiscoveringDaemon(t, server.URL)

	read := make(chan struct{})
	go func() {
		defer close(read)
		d.readVMList(t.Context())
	}()
	<-requested
	var peer inventory.Inventory
	vm := inventory.NewUpstreamVM("10.0.0.9:80", "u/s", "dc-0", "r-0")
	now := d.clock.Now()
	records := append(peer.ObserveVMList(now, []inventory.VM{vm}),
		peer.ObserveVMList(now+1, []inventory.VM{inventory.NewUpstreamVM("10.0.0.8:80", "u/s", "dc-0", "r-0")})...)
	for _, record := range records {
		d.services.ReceiveRecord(record)
	}
	close(send)
	<-read
	d.services.mu.Lock()
	defer d.services.mu.Unlock()
	_, found := d.services.inventory.VM("10.0.0.9:80")
	assert.False(t, found)
	_, found = d.services.inventory.VM("10.0.0.8:80")
	require.True(t, found)
}

// Guards against queries to an upstream that is leaving: a status that was requested before,
// and arrives after a peer has published the leaving, must not undo it.
func TestDelayedStatusDoesNotUndoLeaving(t *testing.T) {
	requested, send := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(requested)
		<-send
		_, _ = io.WriteString(w, `{"boot":"boot-1","state":"serving"}`)
	}))
	defer server.Close()
	d := newDiscoveringDaemon(t, "http://127.0.0.1:1")
	address := server.Listener.Addr().String()
	var peer inventory.Inventory
	for _, record := range peer.ObserveVMList(d.clock.Now(), []inventory.VM{inventory.NewUpstreamVM(address, "u/s", "dc-0", "r-0")}) {
		d.services.ReceiveRecord(record)
	}

	polled := make(chan struct{})
	go func() {
		defer close(polled)
		d.pollUpstreams(t.Context())
	}()
	<-requested
	for _, record := range peer.ObserveStatus(d.clock.Now(), inventory.NewStatus(address, "boot-1", false, true, nil)) {
		d.services.ReceiveRecord(record)
	}
	close(send)
	<-polled
	d.services.mu.Lock()
	defer d.services.mu.Unlock()
	status, known := d.services.inventory.Status(address)
	require.True(t, known)
	assert.True(t, status.Leaving())
}
