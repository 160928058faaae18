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

// Guards against first copies of the store that fill the link of the daemon
// that many follow (pattern: all daemons of a data centre start at once), and
// against a copy that is changed on the way.
func TestLargeMirrorReplyIsCompressed(t *testing.T) {
	g := newTestGateway(t)
	var items []mirror.Item
	for i := range 300 {
		value := fmt.Sprintf(`{"service":"search","address":"10.128.%d.%d:8080","dataCentre":"ikeja","release":"v1","slots":2,"state":"serving","coldFor":0,"beat":%d}`, i/250, i%250, i)
		items = append(items, mirror.NewItem(fmt.Sprintf("replicas/i-%08x", i*7919), []byte(value), uint64(i+1)))
	}
	g.mirrorSyncer.mu.Lock()
	g.mirrorSyncer.applyChanges(g.mirrorSyncer.reader.HandlePage(g.mirrorSyncer.now(), items, 300, false))
	g.mirrorSyncer.mu.Unlock()
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()

	text, err := codec.Encode(mirrorRequest{Sender: "b"})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, server.URL+mirrorPath, bytes.NewReader(text))
	require.NoError(t, err)
	request.Header.Set(proofHeader, keyProof(g.config.Key, text))
	request.Header.Set("Accept-Encoding", "gzip") // the transport then leaves the body as it is
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
