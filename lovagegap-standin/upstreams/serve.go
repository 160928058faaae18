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
	maxQueryBodyBytes   = 4 << 20 // longer bodies are truncated
	loggedBodyBytes     = 64      // prefix of the body that a LogEntry keeps
	oversizedReplyBytes = 5 << 20 // above the largest reply that a daemon accepts
)

func (u *Upstream) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.Status())
}

// Status is the body of GET /v1/status.
type Status struct {
	Boot        string    `json:"boot"`
	State       string    `json:"state"`
	Load        int       `json:"load"` // sub-requests running and queued
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Holdings    []Holding `json:"holdings"`
}

// Status returns the status that the replica reports, with the parts that
// Faults.StatusOverride replaces.
func (u *Upstream) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Status{
		Boot: u.currentBootID(), State: "serving", Load: u.running + len(u.waiting), Slots: u.replica.Service.Slots,
		Connections: u.replica.Service.MaxConnections, Holdings: slices.Clone(u.holdings),
	}
	switch {
	case u.faults.Leaving:
		s.State = "leaving"
	case u.cold:
		s.State = "cold"
	}
	if r := u.faults.StatusOverride; r != nil {
		s.applyOverride(r)
	}
	return s
}

func (s *Status) applyOverride(r *StatusOverride) {
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

func (u *Upstream) handleQuery(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxQueryBodyBytes))
	if err != nil {
		return
	}
	entry := &LogEntry{
		Service: r.Header.Get("Lovagegap-Service"),
		Request: r.Header.Get("Lovagegap-Request"),
		Shard:   r.PathValue("shard"),
		Version: r.Header.Get("Lovagegap-Snapshot"),
		Body:    string(body[:min(len(body), loggedBodyBytes)]),
	}
	p := processOf(r)
	u.recordArrival(entry, p)
	w.Header().Set("Lovagegap-Boot", entry.Boot)
	w.Header().Set("Lovagegap-Request", entry.Request)
	if code := u.checkRouting(entry); code != 0 {
		u.recordOutcome(entry, Misrouted)
		w.WriteHeader(code)
		return
	}
	if text := u.Faults().CrashText; text != "" && strings.Contains(string(body), text) {
		u.crash(p)
		u.recordOutcome(entry, Crashed)
		panic(http.ErrAbortHandler)
	}
	u.serveQuery(w, r, p, entry)
}

// checkRouting returns the HTTP status code for a shard or version that the
// replica does not hold, or 0 if it holds them.
func (u *Upstream) checkRouting(e *LogEntry) int {
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
		if slices.Contains(h.HeldShards, shard) {
			return 0
		}
		return http.StatusMisdirectedRequest
	}
	return http.StatusGone
}

// crash restarts the replica unless process p has ended already.
func (u *Upstream) crash(p process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.bootNumber != u.bootNumber {
		return
	}
	u.counts.Crashes++
	u.restart()
}

func (u *Upstream) serveQuery(w http.ResponseWriter, r *http.Request, p process, entry *LogEntry) {
	ctx, cancel := withDeadline(r)
	defer cancel()
	switch u.acquireSlot(ctx, p, entry) {
	case shed:
		u.recordOutcome(entry, Shed)
		w.Header().Set("Lovagegap-Ran", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case aborted:
		u.abort(p, entry)
	}
	completed := u.simulateWork(ctx, p, entry)
	// Release the slot before sending the reply, so that a caller that has read the
	// reply finds the slot free.
	u.finishWork(p, completed)
	if !completed {
		u.abort(p, entry)
	}
	u.recordOutcome(entry, Completed)
	u.writeReply(w, r, entry)
}

// abort ends the exchange without a reply. It panics with http.ErrAbortHandler.
func (u *Upstream) abort(p process, entry *LogEntry) {
	outcome := Cancelled
	if p.ctx.Err() != nil {
		outcome = Crashed
	}
	u.recordOutcome(entry, outcome)
	panic(http.ErrAbortHandler)
}

// withDeadline applies the Lovagegap-Deadline header, in milliseconds from now.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseFloat(r.Header.Get("Lovagegap-Deadline"), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left*float64(time.Millisecond)))
}

// simulateWork waits for the service time. It returns false if the sub-request
// was cancelled or the process ended before.
func (u *Upstream) simulateWork(ctx context.Context, p process, entry *LogEntry) bool {
	timer := time.NewTimer(u.drawServiceTime(entry))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-p.ctx.Done():
		return false
	}
}

func (u *Upstream) writeReply(w http.ResponseWriter, r *http.Request, entry *LogEntry) {
	faults := u.Faults()
	if u.occurs(faults.FailShare) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	request, shard, version := entry.Request, entry.Shard, entry.Version
	body := fmt.Appendf(nil, `{"shard":%s,"hits":[]}`, entry.Shard)
	switch faults.ReplyFault {
	case WrongRequest:
		request += "-other"
	case WrongShard:
		shard += "9"
	case WrongVersion:
		version += "9"
	case Empty:
		body = nil
	case Oversized:
		body = []byte(`"` + strings.Repeat("x", oversizedReplyBytes) + `"`)
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
	if faults.ReplyFault == HalfBody {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}
