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
	d := newDaemon(Configuration{
		name: "d", dataCentre: "dc-0", region: "r-0", callerAddress: "10.0.0.0:80", operatorAddress: "10.0.0.0:81",
		peerAddress: "10.0.0.0:7200", platformURL: server.URL, peerKeys: [][]byte{[]byte("0123456789abcdef")},
	}, logr.Discard())
	defer d.close([]*http.Server{{}})

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
