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
	"github.com/lovagegap/lovagegap/entry/body"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/connlimit"
	"github.com/lovagegap/lovagegap/entry/peers"
)

const (
	mirrorPath    = "/v1/mirror"
	proofHeader   = "Lovagegap-Proof"
	mirrorTimeout = time.Second
	// peerBodyTimeout is the time for the body of a request of a peer, whose own
	// timeouts are shorter.
	peerBodyTimeout       = 2 * time.Second
	peerDialTimeout       = 400 * time.Millisecond
	maxMirrorRequestBytes = 64 << 10
	// minCompressedBytes is the least size of a reply that is compressed. Above all
	// these are the complete copies of the store that starting daemons request.
	minCompressedBytes  = 4 << 10
	maxMirrorReplyBytes = 64 << 20
)

// errPeerExchange marks failed or invalid requests between daemons.
var errPeerExchange = errors.New("exchange with a peer failed")

// wireItem is an item of the store as it is sent between daemons.
type wireItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Removed  bool   `cbor:"4,keyasint,omitempty"`
}

// wireObservation is an observation of a replica as it is sent between daemons.
type wireObservation struct {
	ReplicaID   string  `cbor:"1,keyasint"`
	Slowness    float32 `cbor:"2,keyasint"`
	FailureRate float32 `cbor:"3,keyasint"`
	// Leaving means that the run of the replica with the Incarnation leaves.
	Leaving     bool  `cbor:"4,keyasint,omitempty"`
	Incarnation int64 `cbor:"5,keyasint,omitempty"`
}

func encodeObservations(observations []replica.Observation) []wireObservation {
	wire := make([]wireObservation, len(observations))
	for i, o := range observations {
		wire[i] = wireObservation{ReplicaID: o.ID(), Slowness: float32(o.Slowness()), FailureRate: float32(o.FailureRate())}
		wire[i].Incarnation, wire[i].Leaving = o.Leaving()
	}
	return wire
}

func decodeObservations(wire []wireObservation) []replica.Observation {
	if len(wire) == 0 {
		return nil
	}
	observations := make([]replica.Observation, len(wire))
	for i, o := range wire {
		observations[i] = replica.NewObservation(o.ReplicaID, float64(o.Slowness), float64(o.FailureRate))
		if o.Leaving {
			observations[i] = observations[i].AsLeaving(o.Incarnation)
		}
	}
	return observations
}

// mirrorRequest asks a daemon for the changes of its mirror after a revision, and
// waits for them for up to WaitMs. A follower includes its own observations.
type mirrorRequest struct {
	Sender        string            `cbor:"1,keyasint"`
	AfterRevision uint64            `cbor:"2,keyasint"`
	WaitMs        float64           `cbor:"3,keyasint,omitempty"`
	Observations  []wireObservation `cbor:"4,keyasint,omitempty"`
	// ProofAgeMs is the age of the sender's proof, or 0 if its configuration has no tenants.
	ProofAgeMs float64 `cbor:"5,keyasint,omitempty"`
	// Era is that of AfterRevision. A daemon of an earlier version does not send it.
	Era *mirror.WireEra `cbor:"6,keyasint,omitempty"`
}

// newMirrorRequest returns a request of a daemon for the changes after a revision.
func newMirrorRequest(sender string, after mirror.Revision) mirrorRequest {
	era := mirror.NewWireEra(after.Era())
	return mirrorRequest{Sender: sender, AfterRevision: after.Number(), Era: &era}
}

// after returns the revision after which the sender wants changes. One without an era counts as
// of the present one.
func (r mirrorRequest) after(present mirror.Era) mirror.Revision {
	switch {
	case r.Era != nil:
		return mirror.NewRevision(r.Era.Era(), r.AfterRevision)
	case r.AfterRevision == 0:
		return mirror.Revision{}
	}
	return mirror.NewRevision(present, r.AfterRevision)
}

// mirrorReply is the changes of a daemon's mirror after a revision. AgeMs is the time
// since the mirror was last up to date with the store.
type mirrorReply struct {
	Items    []wireItem `cbor:"1,keyasint,omitempty"`
	Complete bool       `cbor:"2,keyasint,omitempty"`
	Revision uint64     `cbor:"3,keyasint"`
	AgeMs    float64    `cbor:"4,keyasint"`
	// Observations are those of this daemon and its other followers.
	Observations []wireObservation `cbor:"5,keyasint,omitempty"`
	// Proof is absent if the configuration has no tenants.
	Proof *wireProof `cbor:"6,keyasint,omitempty"`
	// Settled means that removals up to Revision need not be held back; see mirror.Reader.
	Settled bool `cbor:"7,keyasint,omitempty"`
	// Era is that of Revision and of the items.
	Era mirror.WireEra `cbor:"8,keyasint,omitzero"`
	// Through is a later revision that the changes may already be from; see
	// mirror.Reader.ListedThrough.
	Through uint64 `cbor:"9,keyasint,omitempty"`
}

// through returns the revision of Through, which is in the same era.
func (r mirrorReply) through() mirror.Revision {
	return mirror.NewRevision(r.Era.Era(), r.Through)
}

// revision returns the revision of the mirror, zero if there is none.
func (r mirrorReply) revision() mirror.Revision {
	if r.Revision == 0 {
		return mirror.Revision{}
	}
	return mirror.NewRevision(r.Era.Era(), r.Revision)
}

// wireProof is a proof of freshness as it is sent between daemons. The fields are those
// of mirror.PeerProof.
type wireProof struct {
	AgeMs  float64 `cbor:"1,keyasint"`
	HeldMs float64 `cbor:"2,keyasint"`
}

func (r mirrorReply) items() []mirror.Item {
	items := make([]mirror.Item, len(r.Items))
	for i, item := range r.Items {
		revision := mirror.NewRevision(r.Era.Era(), item.Revision)
		if item.Removed {
			items[i] = mirror.NewRemoval(item.Key, revision)
		} else {
			items[i] = mirror.NewItem(item.Key, item.Value, revision)
		}
	}
	return items
}

// peerHandler returns the handler for requests of other daemons.
func (g *Gateway) peerHandler() http.Handler {
	e := echo.New()
	e.GET(string(peers.Control), echo.WrapHandler(g.hub))
	e.POST(gatherPath, g.handleGather)
	e.POST(allowancePath, g.handleAllowance)
	e.POST(standingPath, g.handleStanding)
	e.POST(mirrorPath, func(c echo.Context) error {
		var request mirrorRequest
		if status, err := g.readPeerRequest(c, maxMirrorRequestBytes, &request); err != nil {
			return c.String(status, err.Error())
		}
		body, err := codec.Encode(g.mirrorSyncer.waitForChanges(c.Request().Context(), request))
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

// compressor compresses replies with gzip, one at a time: a writer takes a megabyte of
// memory, and all followers may request a complete copy at once. The zero value is
// ready for use. It is safe for concurrent use.
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
	// Writing to a buffer does not fail.
	_, _ = z.writer.Write(text)
	_ = z.writer.Close()
	return out.Bytes()
}

const mimeCBOR = "application/cbor"

// readPeerRequest authenticates the body of a request of another daemon and decodes
// it into request. The status is meant for the reply if there is an error.
func (g *Gateway) readPeerRequest(c echo.Context, limit int64, request any) (status int, err error) {
	body, err := connlimit.ReadBody(c.Response(), c.Request(), limit, peerBodyTimeout)
	if err != nil {
		status, _ = connlimit.RefusalOf(err)
		c.Response().Header().Set(echo.HeaderConnection, "close")
		return status, err
	}
	if !hmac.Equal([]byte(c.Request().Header.Get(proofHeader)), []byte(keyProof(g.config.Key, body))) {
		return http.StatusForbidden, errors.Wrap(errPeerExchange, "request not authenticated with the deployment key")
	}
	return http.StatusBadRequest, codec.Decode(body, request)
}

// keyProof returns the HMAC that authenticates the body of a request as that of a
// daemon of the same deployment.
func keyProof(key, body []byte) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

var mirrorClient = &http.Client{Transport: body.StrictTransport(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
	MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
})}

// fetchMirror requests the changes of the mirror of a peer.
func fetchMirror(ctx context.Context, key []byte, peer string, request mirrorRequest) (mirrorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout+clock.Millis(request.WaitMs).Duration())
	defer cancel()
	reply, err := postToPeer(ctx, mirrorClient, key, peer+mirrorPath, request)
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

// postToPeer sends a message to a daemon and returns the body of its reply, which the
// caller must close. A failed exchange and a status other than 200 give
// errPeerExchange. The address includes the path.
func postToPeer(
	ctx context.Context, client *http.Client, key []byte, address string, message any,
) (io.ReadCloser, error) {
	body, err := codec.Encode(message)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // saves traffic between data centres
	request.Header.Set(proofHeader, keyProof(key, body))
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
