package frontend

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
	"github.com/lovagegap/lovagegap/entry/routing"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

type serving struct{}

func (serving) Leaving() bool { return false }

// FuzzCallerRequest guards against a head or body of a caller that ends the daemon, or
// that leaves the caller without a status.
func FuzzCallerRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nLeft: 5\r\n\r\n",
		"POST /a/ HTTP/1.1\r\nHost: h.example\r\nLeft: NaN\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST /a/ HTTP/1.1\r\nHost: h.example\r\nLeft: 1e400\r\nContent-Length: 99999\r\n\r\nx",
		"OPTIONS * HTTP/1.1\r\nHost: h.example\r\n\r\n", "GET http://h.example/a/%2f%zz HTTP/1.1\r\nHost: other\r\n\r\n",
		"CONNECT h.example:80 HTTP/1.1\r\nHost: h.example:80\r\nConnection: Id, Keep-Alive\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	engine := routing.New(routing.Dependencies{
		Log: logr.Discard(), DataCentre: "x", Random: rand.New(rand.NewPCG(1, 2)), Meter: &telemetry.Routes{},
		Budget: replica.BudgetPolicy{Window: clock.Second},
		Names:  exchange.HeaderNames{RequestID: "Id", Deadline: "Left"},
	})
	r, err := route.NewRoute(route.Spec{
		Name: "r", Host: "h.example", Prefix: "/a/", Timeout: 100, Objective: 50, MaxAttempts: 1, Splits: []route.Split{route.NewSplit("s", 1)},
	})
	if err != nil {
		f.Fatal(err)
	}
	table, err := route.NewTable(1, []*route.Route{r}, []route.Service{route.NewService("s", 1, 0)}, route.NewLimits(4096, 1000, 100, 100))
	if err != nil {
		f.Fatal(err)
	}
	engine.ApplyUpdates([]routing.StoreUpdate{{Table: table}})
	h := New(engine, HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Instance"}, serving{})
	f.Fuzz(func(t *testing.T, text []byte) {
		request, err := http.ReadRequest(bufio.NewReader(io.LimitReader(bytes.NewReader(text), maxHeaderBytes)))
		if err != nil {
			return
		}
		if left := h.newRequest(request.Clone(t.Context()), nil, routing.Authorization{}).Deadline; !(left >= 0) || math.IsNaN(float64(left)) {
			t.Fatalf("deadline %v", left)
		}
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, request)
		if recorder.Code < 400 {
			t.Fatalf("status %d without a replica", recorder.Code)
		}
	})
}

// FuzzKeyHeader guards against a header that ends the daemon, that is taken for a key which
// it is not, or that reaches a replica as a key or as a tenant of the caller's choice.
func FuzzKeyHeader(f *testing.F) {
	const valid = "key-1"
	for _, seed := range []string{
		"Key: key-1\r\n", "key: key-1 \r\nTenant: root\r\n", "KEY: key-1\r\nKey: key-1\r\n", "Key:\r\n", "Key: key-1, key-1\r\n",
		"Connection: Key, Tenant\r\nKey: key-1\r\n", "Key : key-1\r\n", "Key: key-1\x00\r\n", "Key: \xff\xfe\r\nTENANT: a\r\ntenant: b\r\n",
		"Key: key-\r\n 1\r\n", "Trailer: Key\r\nTransfer-Encoding: chunked\r\n",
	} {
		f.Add([]byte(seed))
	}
	engine := routing.New(routing.Dependencies{
		Log: logr.Discard(), DataCentre: "x", Random: rand.New(rand.NewPCG(1, 2)), Meter: &telemetry.Routes{},
		Budget: replica.BudgetPolicy{Window: clock.Second},
	})
	r, err := route.NewRoute(route.Spec{
		Name: "r", Host: "h", Prefix: "/", Timeout: 100, Objective: 50, MaxAttempts: 1, Splits: []route.Split{route.NewSplit("s", 1)},
	})
	if err != nil {
		f.Fatal(err)
	}
	table, err := route.NewTable(1, []*route.Route{r}, []route.Service{route.NewService("s", 1, 0)}, route.Limits{})
	if err == nil {
		table, err = table.WithTenants(route.NewKeyHasher([]byte("x")), []route.TenantKeys{{Tenant: route.NewTenant("acme", 0, 0, 0), Keys: []string{valid}}})
	}
	if err != nil {
		f.Fatal(err)
	}
	engine.ApplyUpdates([]routing.StoreUpdate{{Table: table}})
	engine.RecordProof(clock.Clock{}.Now() + clock.Hour)
	h := New(engine, HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Instance", Key: "Key", Tenant: "Tenant"}, serving{})
	f.Fuzz(func(t *testing.T, text []byte) {
		head := "GET / HTTP/1.1\r\nHost: h\r\n" + string(text) + "\r\n"
		request, err := http.ReadRequest(bufio.NewReader(io.LimitReader(bytes.NewReader([]byte(head)), maxHeaderBytes)))
		if err != nil {
			return
		}
		keys := request.Header.Values("Key")
		authorization, refused, ok := h.authorize(request, r)
		if expected := len(keys) == 1 && keys[0] == valid; ok != expected {
			t.Fatalf("keys %q: authorized %v", keys, ok)
		}
		if !ok {
			if status := refused.Status(); status != 400 && status != 401 {
				t.Fatalf("keys %q: status %d", keys, status)
			}
			return
		}
		forwarded := h.newRequest(request, nil, authorization).Header
		if tenants := forwarded.Values("Tenant"); len(tenants) != 1 || tenants[0] != "acme" || forwarded.Values("Key") != nil {
			t.Fatalf("forwarded: %q", forwarded)
		}
	})
}
