package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// Guards against complete copies of the mirror that saturate the link of the daemon
// that others follow, as when all daemons of a data centre start at once, and against
// compression that changes a copy.
func TestLargeMirrorReplyIsCompressed(t *testing.T) {
	g := newTestGateway(t)
	var items []mirror.Item
	for i := range 300 {
		value := fmt.Sprintf(`{"service":"search","address":"10.128.%d.%d:8080","dataCentre":"ikeja","release":"v1","slots":2,"state":"serving","coldFor":0,"beat":%d}`, i/250, i%250, i)
		items = append(items, mirror.NewItem(fmt.Sprintf("replicas/i-%08x", i*7919), []byte(value), revisionAt(uint64(i+1))))
	}
	g.mirrorSyncer.mu.Lock()
	g.mirrorSyncer.applyChanges(g.mirrorSyncer.reader.HandlePage(mirror.Call{}, g.mirrorSyncer.now(), items, revisionAt(300), false))
	g.mirrorSyncer.mu.Unlock()
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()

	text, err := codec.Encode(mirrorRequest{Sender: "b"})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, server.URL+mirrorPath, bytes.NewReader(text))
	require.NoError(t, err)
	request.Header.Set(proofHeader, keyProof(g.config.Key, text))
	request.Header.Set("Accept-Encoding", "gzip") // set explicitly, so that the transport does not decompress the body
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	compressed, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "gzip", response.Header.Get("Content-Encoding"))
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	require.NoError(t, err)
	plain, err := io.ReadAll(reader)
	require.NoError(t, err)
	assert.Less(t, 4*len(compressed), len(plain))

	view, err := fetchMirror(t.Context(), g.config.Key, server.Listener.Addr().String(), mirrorRequest{Sender: "b"})
	require.NoError(t, err)
	assert.ElementsMatch(t, items, view.items())
}
