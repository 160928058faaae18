package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/peers"
)

const (
	mirrorPath            = "/v1/mirror"
	proofHeader           = "Lovagegap-Proof"
	mirrorTimeout         = time.Second
	peerDialTimeout       = 400 * time.Millisecond
	maxMirrorRequestBytes = 64 << 10
	// minCompressedBytes is the size from which a reply is compressed: the first copy
	// of the store for each daemon that starts.
	minCompressedBytes  = 4 << 10
	maxMirrorReplyBytes = 64 << 20
)

var errPeerExchange = errors.New("peer did not answer")

// wireItem is an item of the store between daemons.
type wireItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Removed  bool   `cbor:"4,keyasint,omitempty"`
}

// wireObservation is an observation of a replica between daemons.
type wireObservation struct {
	ReplicaID   string  `cbor:"1,keyasint"`
	Slowness    float32 `cbor:"2,keyasint"`
	FailureRate float32 `cbor:"3,keyasint"`
}

func encodeObservations(observations []replica.Observation) []wireObservation {
	wire := make([]wireObservation, len(observations))
	for i, o := range observations {
		wire[i] = wireObservation{ReplicaID: o.ID(), Slowness: float32(o.Slowness()), FailureRate: float32(o.FailureRate())}
	}
	return wire
}

func decodeObservations(wire []wireObservation) []replica.Observation {
	observations := make([]replica.Observation, len(wire))
	for i, o := range wire {
		observations[i] = replica.NewObservation(o.ReplicaID, float64(o.Slowness), float64(o.FailureRate))
	}
	return observations
}

// mirrorRequest asks a daemon for what it knows of the store after a revision.
type mirrorRequest struct {
	Sender        string            `cbor:"1,keyasint"`
	AfterRevision uint64            `cbor:"2,keyasint"`
	WaitMs        float64           `cbor:"3,keyasint,omitempty"` // milliseconds
	Observations  []wireObservation `cbor:"4,keyasint,omitempty"`
}

// mirrorReply is what a daemon knows of the store after a revision.
type mirrorReply struct {
	Items    []wireItem `cbor:"1,keyasint,omitempty"`
	Complete bool       `cbor:"2,keyasint,omitempty"`
	Revision uint64     `cbor:"3,keyasint"`
	AgeMs    float64    `cbor:"4,keyasint"`
	// Observations is what this daemon and those that follow it have observed.
	Observations []wireObservation `cbor:"5,keyasint,omitempty"`
}

func (r mirrorReply) items() []mirror.Item {
	items := make([]mirror.Item, len(r.Items))
	for i, item := range r.Items {
		if item.Removed {
			items[i] = mirror.NewRemoval(item.Key, item.Revision)
		} else {
			items[i] = mirror.NewItem(item.Key, item.Value, item.Revision)
		}
	}
	return items
}

// peerHandler serves the other daemons.
func (g *Gateway) peerHandler() http.Handler {
	e := echo.New()
	e.GET(string(peers.Control), echo.WrapHandler(g.hub))
	e.POST(gatherPath, g.handleGather)
	e.POST(mirrorPath, func(c echo.Context) error {
		var ask mirrorRequest
		if status, err := g.readPeerRequest(c, maxMirrorRequestBytes, &ask); err != nil {
			return c.String(status, err.Error())
		}
		body, err := codec.Encode(g.mirrorSyncer.waitForChanges(c.Request().Context(), ask))
		if err != nil {
			return err
		}
		if len(body) >= minCompressedBytes && strings.Contains(c.Request().Header.Get(echo.HeaderAcceptEncoding), "gzip") {
			c.Response().Header().Set(echo.HeaderContentEncoding, "gzip")
			body = g.compressor.compress(body)
		}
		return c.Blob(http.StatusOK, mimeCBOR, body)
	})
	return e
}

// compressor compresses one text at a time: a writer takes a megabyte, and all
// followers may ask for a first copy at once. The zero value is ready for use.
type compressor struct {
	mu     sync.Mutex
	writer *gzip.Writer
}

func (z *compressor) compress(text []byte) []byte {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out bytes.Buffer
	if z.writer == nil {
		z.writer, _ = gzip.NewWriterLevel(&out, gzip.BestSpeed) // the level is valid
	} else {
		z.writer.Reset(&out)
	}
	// A buffer takes everything.
	_, _ = z.writer.Write(text)
	_ = z.writer.Close()
	return out.Bytes()
}

const mimeCBOR = "application/cbor"

// readPeerRequest reads what another daemon asks. The status goes with an error.
func (g *Gateway) readPeerRequest(c echo.Context, limit int64, request any) (status int, err error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit))
	if err != nil {
		return http.StatusBadRequest, err
	}
	if !hmac.Equal([]byte(c.Request().Header.Get(proofHeader)), []byte(keyProof(g.config.Key, body))) {
		return http.StatusForbidden, errors.Wrap(errPeerExchange, "no proof of the key")
	}
	return http.StatusBadRequest, codec.Decode(body, request)
}

// keyProof shows that a request comes from a daemon of the same deployment.
func keyProof(key, text []byte) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(text)
	return hex.EncodeToString(mac.Sum(nil))
}

var mirrorClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
	MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
}}

// fetchMirror asks a peer for what it knows of the store.
func fetchMirror(ctx context.Context, key []byte, peer string, ask mirrorRequest) (mirrorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout+clock.Millis(ask.WaitMs).Duration())
	defer cancel()
	reply, err := postToPeer(ctx, mirrorClient, key, peer+mirrorPath, ask)
	if err != nil {
		return mirrorReply{}, err
	}
	defer reply.Close()
	var view mirrorReply
	body, err := io.ReadAll(io.LimitReader(reply, maxMirrorReplyBytes))
	if err == nil {
		err = codec.Decode(body, &view)
	}
	if err != nil {
		return mirrorReply{}, errors.Wrapf(errPeerExchange, "%v", err)
	}
	return view, nil
}

// postToPeer asks another daemon and returns its answer, which the caller closes. It
// returns errShare.
func postToPeer(ctx context.Context, client *http.Client, key []byte, address string, ask any) (io.ReadCloser, error) {
	text, err := codec.Encode(ask)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // bytes between data centres cost
	request.Header.Set(proofHeader, keyProof(key, text))
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(errPeerExchange, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Wrapf(errPeerExchange, "status %d", response.StatusCode)
	}
	return response.Body, nil
}
