package upstreams

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxBody       = 4 << 20
	loggedBody    = 64
	oversizedBody = 5 << 20 // above the largest reply that the daemon accepts
)

func (u *Upstream) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.Status())
}

// Status is what a replica reports about itself.
type Status struct {
	Boot        string    `json:"boot"`
	State       string    `json:"state"`
	Load        int       `json:"load"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Holdings    []Holding `json:"holdings"`
}

// Status returns the status as reported, with misleading parts if switched on.
func (u *Upstream) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Status{
		Boot: u.bootID(), State: "serving", Load: u.running + len(u.waiting), Slots: u.place.Service.Slots,
		Connections: u.place.Service.Connections, Holdings: slices.Clone(u.holdings),
	}
	switch {
	case u.faults.Leaving:
		s.State = "leaving"
	case u.cold:
		s.State = "cold"
	}
	if r := u.faults.Report; r != nil {
		s.mislead(r)
	}
	return s
}

func (s *Status) mislead(r *Report) {
	if r.State != "" {
		s.State = r.State
	}
	if r.Load != nil {
		s.Load = *r.Load
	}
	if r.Holdings != nil {
		s.Holdings = r.Holdings
	}
}

func (u *Upstream) query(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	entry := &Entry{
		Service: r.Header.Get("Lovagegap-Service"),
		Request: r.Header.Get("Lovagegap-Request"),
		Shard:   r.PathValue("shard"),
		Version: r.Header.Get("Lovagegap-Snapshot"),
		Body:    string(body[:min(len(body), loggedBody)]),
	}
	p := passOf(r)
	u.record(entry, p)
	w.Header().Set("Lovagegap-Boot", entry.Boot)
	if code := u.misrouted(entry); code != 0 {
		u.settle(entry, Misrouted)
		w.WriteHeader(code)
		return
	}
	if text := u.Faults().CrashText; text != "" && strings.Contains(string(body), text) {
		u.crash(p)
		u.settle(entry, Crashed)
		panic(http.ErrAbortHandler)
	}
	u.serve(w, r, p, entry)
}

// misrouted returns the status code for a shard or version that the replica
// does not hold, or 0.
func (u *Upstream) misrouted(e *Entry) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	version, err := strconv.ParseUint(e.Version, 10, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	shard, err := strconv.Atoi(e.Shard)
	if err != nil {
		return http.StatusBadRequest
	}
	for _, h := range u.holdings {
		if h.Version != version {
			continue
		}
		if slices.Contains(h.Holds, shard) {
			return 0
		}
		return http.StatusMisdirectedRequest
	}
	return http.StatusGone
}

func (u *Upstream) crash(p pass) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.boot != u.boot {
		return
	}
	u.counts.Crashes++
	u.restart()
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request, p pass, entry *Entry) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	switch u.enter(ctx, p, entry) {
	case shed:
		u.settle(entry, Shed)
		w.Header().Set("Lovagegap-Ran", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case lost:
		u.abandon(p, entry)
	}
	completed := u.work(ctx, p)
	// The slot is free before the reply leaves, so a caller that has read the
	// reply can rely on it.
	u.leave(p, completed)
	if !completed {
		u.abandon(p, entry)
	}
	u.settle(entry, Completed)
	u.reply(w, r, entry)
}

// abandon ends the exchange without a reply.
func (u *Upstream) abandon(p pass, entry *Entry) {
	outcome := Cancelled
	if p.life.Err() != nil {
		outcome = Crashed
	}
	u.settle(entry, outcome)
	panic(http.ErrAbortHandler)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseFloat(r.Header.Get("Lovagegap-Deadline"), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left*float64(time.Millisecond)))
}

// work takes the service time. It returns false if the sub-request was
// cancelled or the process ended.
func (u *Upstream) work(ctx context.Context, p pass) bool {
	timer := time.NewTimer(u.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-p.life.Done():
		return false
	}
}

func (u *Upstream) reply(w http.ResponseWriter, r *http.Request, entry *Entry) {
	faults := u.Faults()
	if u.draw(faults.Fail) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	request, shard, version := entry.Request, entry.Shard, entry.Version
	body := fmt.Appendf(nil, `{"shard":%s,"hits":[]}`, entry.Shard)
	switch faults.Reply {
	case WrongRequest:
		request += "-other"
	case WrongShard:
		shard += "9"
	case WrongVersion:
		version += "9"
	case Empty:
		body = nil
	case Oversized:
		body = []byte(`"` + strings.Repeat("x", oversizedBody) + `"`)
	case NotJSON:
		body = body[1:]
	case NoReply:
		r.Context().Value(connKey{}).(*conn).reset()
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Lovagegap-Shard", shard)
	header.Set("Lovagegap-Snapshot", version)
	header.Set("Lovagegap-Request", request)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Reply == HalfBody {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}
