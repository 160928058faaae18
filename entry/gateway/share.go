package gateway

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/peers"
)

const (
	sharePath    = "/v1/mirror"
	proofHeader  = "Lovagegap-Proof"
	shareTimeout = time.Second
	maxShare     = 64 << 20
)

var errShare = errors.New("peer did not share its mirror")

// viewItem is an item of the store between daemons.
type viewItem struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	Removed  bool   `cbor:"4,keyasint,omitempty"`
}

// viewReply is what a daemon knows of the store after a revision.
type viewReply struct {
	Items    []viewItem `cbor:"1,keyasint,omitempty"`
	Complete bool       `cbor:"2,keyasint,omitempty"`
	Revision uint64     `cbor:"3,keyasint"`
	Age      float64    `cbor:"4,keyasint"`
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
	e.GET(sharePath, func(c echo.Context) error {
		if !hmac.Equal([]byte(c.Request().Header.Get(proofHeader)), []byte(proof(g.config.Key, c.Request().URL.RequestURI()))) {
			return c.NoContent(http.StatusForbidden)
		}
		after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
		if err != nil {
			return c.String(http.StatusBadRequest, "after must be a revision")
		}
		body, err := codec.Encode(g.view.tell(after))
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, "application/cbor", body)
	})
	return e
}

// proof shows that a request comes from a daemon of the same deployment.
func proof(key []byte, target string) string {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(target))
	return hex.EncodeToString(mac.Sum(nil))
}

var shareClient = &http.Client{Timeout: shareTimeout, Transport: &http.Transport{
	MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
}}

// fetch asks a peer for what it knows of the store after a revision.
func fetch(ctx context.Context, key []byte, peer string, after uint64) (viewReply, error) {
	target := sharePath + "?after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+target, nil)
	if err != nil {
		return viewReply{}, err
	}
	request.Header.Set(proofHeader, proof(key, target))
	response, err := shareClient.Do(request)
	if err != nil {
		return viewReply{}, errors.Mark(err, errShare)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxShare))
	if err != nil || response.StatusCode != http.StatusOK {
		return viewReply{}, errors.Wrapf(errShare, "status %d", response.StatusCode)
	}
	var reply viewReply
	if err := codec.Decode(body, &reply); err != nil {
		return viewReply{}, errors.Mark(err, errShare)
	}
	return reply, nil
}
