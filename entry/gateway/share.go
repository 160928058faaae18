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
	sharePath    = "/v1/mirror"
	proofHeader  = "Lovagegap-Proof"
	shareTimeout = time.Second
	shareDial    = 400 * time.Millisecond
	maxAsk       = 64 << 10
	// compressedSize is the size from which a reply is compressed: the first copy
	// of the store for each daemon that starts.
	compressedSize = 4 << 10
	maxShare       = 64 << 20
)

var errShare = errors.New("peer did not answer")

// viewItem is an item of the store between daemons.
type viewItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Removed  bool   `cbor:"4,keyasint,omitempty"`
}

// viewObservation is an observation of a replica between daemons.
type viewObservation struct {
	ID       string  `cbor:"1,keyasint"`
	Slowness float32 `cbor:"2,keyasint"`
	Failing  float32 `cbor:"3,keyasint"`
}

func toWire(observations []replica.Observation) []viewObservation {
	wire := make([]viewObservation, len(observations))
	for i, o := range observations {
		wire[i] = viewObservation{ID: o.ID(), Slowness: float32(o.Slowness()), Failing: float32(o.FailureRate())}
	}
	return wire
}

func fromWire(wire []viewObservation) []replica.Observation {
	observations := make([]replica.Observation, len(wire))
	for i, o := range wire {
		observations[i] = replica.NewObservation(o.ID, float64(o.Slowness), float64(o.Failing))
	}
	return observations
}

// viewAsk asks a daemon for what it knows of the store after a revision.
type viewAsk struct {
	From     string            `cbor:"1,keyasint"`
	After    uint64            `cbor:"2,keyasint"`
	Wait     float64           `cbor:"3,keyasint,omitempty"` // milliseconds
	Observed []viewObservation `cbor:"4,keyasint,omitempty"`
}

// viewReply is what a daemon knows of the store after a revision.
type viewReply struct {
	Items    []viewItem `cbor:"1,keyasint,omitempty"`
	Complete bool       `cbor:"2,keyasint,omitempty"`
	Revision uint64     `cbor:"3,keyasint"`
	Age      float64    `cbor:"4,keyasint"`
	// Observed is what this daemon and those that follow it have observed.
	Observed []viewObservation `cbor:"5,keyasint,omitempty"`
}

func (r viewReply) items() []mirror.Item {
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

// controlHandler serves the other daemons.
func (g *Gateway) controlHandler() http.Handler {
	e := echo.New()
	e.GET(string(peers.Control), echo.WrapHandler(g.hub))
	e.POST(gatherPath, g.gather)
	e.POST(sharePath, func(c echo.Context) error {
		var ask viewAsk
		if status, err := g.readAsk(c, maxAsk, &ask); err != nil {
			return c.String(status, err.Error())
		}
		body, err := codec.Encode(g.view.await(c.Request().Context(), ask))
		if err != nil {
			return err
		}
		if len(body) >= compressedSize && strings.Contains(c.Request().Header.Get(echo.HeaderAcceptEncoding), "gzip") {
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

// readAsk reads what another daemon asks. The status goes with an error.
func (g *Gateway) readAsk(c echo.Context, limit int64, ask any) (status int, err error) {
	text, err := io.ReadAll(io.LimitReader(c.Request().Body, limit))
	if err != nil {
		return http.StatusBadRequest, err
	}
	if !hmac.Equal([]byte(c.Request().Header.Get(proofHeader)), []byte(proof(g.config.Key, text))) {
		return http.StatusForbidden, errors.Wrap(errShare, "no proof of the key")
	}
	return http.StatusBadRequest, codec.Decode(text, ask)
}

// proof shows that a request comes from a daemon of the same deployment.
func proof(key, text []byte) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(text)
	return hex.EncodeToString(mac.Sum(nil))
}

var shareClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: shareDial, KeepAlive: -1}).DialContext,
	MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
}}

// fetch asks a peer for what it knows of the store.
func fetch(ctx context.Context, key []byte, peer string, ask viewAsk) (viewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout+clock.Millis(ask.Wait).Duration())
	defer cancel()
	reply, err := post(ctx, shareClient, key, peer+sharePath, ask)
	if err != nil {
		return viewReply{}, err
	}
	defer reply.Close()
	var view viewReply
	body, err := io.ReadAll(io.LimitReader(reply, maxShare))
	if err == nil {
		err = codec.Decode(body, &view)
	}
	if err != nil {
		return viewReply{}, errors.Wrapf(errShare, "%v", err)
	}
	return view, nil
}

// post asks another daemon and returns its answer, which the caller closes. It
// returns errShare.
func post(ctx context.Context, client *http.Client, key []byte, address string, ask any) (io.ReadCloser, error) {
	text, err := codec.Encode(ask)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // bytes between data centres cost
	request.Header.Set(proofHeader, proof(key, text))
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(errShare, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Wrapf(errShare, "status %d", response.StatusCode)
	}
	return response.Body, nil
}
