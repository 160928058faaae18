package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// call sends one request to the handler of s and returns the status code and body.
func call(s *Server, method, path, body string) (int, string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, request)
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

// Guards against leases that outlive their TTL or that a renewal does not extend.
func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	var manual clock.Manual
	s := New(manual.Clock())
	code, body := call(s, http.MethodPost, "/v1/leases", `{"ttl":"5s"}`)
	require.Equal(t, http.StatusOK, code)
	var lease struct{ ID string }
	require.NoError(t, json.Unmarshal([]byte(body), &lease))
	renew := func() int {
		code, _ := call(s, http.MethodPut, "/v1/leases/"+lease.ID, "")
		return code
	}
	manual.Advance(4999)
	require.Equal(t, http.StatusOK, renew())
	manual.Advance(4999)
	require.Equal(t, http.StatusOK, renew(), "a renewal extends the lease by its TTL")
	manual.Advance(5000)
	require.Equal(t, http.StatusNotFound, renew(), "expired")
	code, _ = call(s, http.MethodPost, "/v1/leases", `{"ttl":"-1s"}`)
	require.Equal(t, http.StatusBadRequest, code)
}

// Guards against a list that shows changes before the lag has passed, late, or out
// of order.
func TestVMListShowsChangesAfterLag(t *testing.T) {
	var manual clock.Manual
	s := New(manual.Clock(), VM{Address: "a", State: Live})
	states := func() string {
		_, body := call(s, http.MethodGet, "/v1/vms", "")
		var vms []VM
		require.NoError(t, json.Unmarshal([]byte(body), &vms))
		text := ""
		for _, vm := range vms {
			text += vm.Address + ":" + vm.State + " "
		}
		return strings.TrimSpace(text)
	}
	code, _ := call(s, http.MethodPut, "/faults", `{"vmLag":"3s"}`)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "a:live", states())
	for _, step := range []struct {
		change  string
		advance clock.Millis
		want    string
	}{
		{`{"address":"b"}`, 2999, "a:live"},
		{`{"address":"a","state":"leaving"}`, 1, "a:live b:live"},
		{`{"address":"a","state":"removed"}`, 2999, "a:leaving b:live"},
		{`{"address":"c"}`, 3000, "b:live c:live"},
	} {
		code, _ := call(s, http.MethodPost, "/faults/vms", step.change)
		require.Equal(t, http.StatusOK, code)
		manual.Advance(step.advance)
		require.Equal(t, step.want, states(), step.change)
	}
	code, _ = call(s, http.MethodPost, "/faults/vms", `{"address":"z","state":"removed"}`)
	require.Equal(t, http.StatusNotFound, code)
}

// Guards against a restored key that still has its later revisions, or accepts a
// write that expects one of them.
func TestRestoreRewindsKey(t *testing.T) {
	s := New(clock.Clock{})
	for n := range uint64(3) {
		_, written := s.CompareAndSwap("k", fmt.Append(nil, n+1), n)
		require.True(t, written)
	}
	code, _ := call(s, http.MethodPost, "/faults/restore", `{"key":"k","revision":1}`)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, Value{Value: []byte("1"), Revision: 1}, s.Get("k"))
	require.ErrorIs(t, s.Restore("k", 3), ErrNoRevision, "a restored key has no later revisions")
	present, written := s.CompareAndSwap("k", []byte("x"), 3)
	require.False(t, written)
	require.Equal(t, uint64(1), present.Revision)
}

// Guards against calls counted under a wrong kind, and a rate that includes calls
// outside its window of full seconds.
func TestCallsCountedByKindAndRate(t *testing.T) {
	var manual clock.Manual
	s := New(manual.Clock())
	for range 40 {
		call(s, http.MethodGet, "/v1/keys/k", "")
	}
	call(s, http.MethodPut, "/v1/keys/k?expect=0", "x")
	call(s, http.MethodGet, "/v1/keys/k?after=0&wait=30s", "")
	call(s, http.MethodGet, "/v1/vms", "")
	manual.Advance(clock.Second)
	require.Equal(t, map[string]int{"get": 40, "put": 1, "watch": 1, "vms": 1}, s.Calls().Total)
	require.InDelta(t, 4.3, s.Calls().PerSecond, 1e-9)
	manual.Advance(10 * clock.Second)
	require.Zero(t, s.Calls().PerSecond)
}
