package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/release"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// releaseItems implements ReleaseCodec and Interpreter for statuses whose value is the target.
type releaseItems struct{}

func (releaseItems) OrderKey(service string) string            { return "order/" + service }
func (releaseItems) StatusKey(service string) string           { return "status/" + service }
func (releaseItems) EncodeStatus(status release.Status) []byte { return []byte(status.Target) }

func (releaseItems) Updates(item mirror.Item) []routing.StoreUpdate {
	update := &routing.StatusUpdate{Service: "ledger", Status: release.Status{Revision: item.Revision()}}
	if !item.Removed() {
		update.Status.State, update.Status.Target = release.Running, string(item.Value())
	}
	return []routing.StoreUpdate{{Status: update}}
}

// conditionalStore answers conditional calls as set.
type conditionalStore struct {
	Store

	revision mirror.Revision // of the written item
	current  []mirror.Item   // makes writes fail
	item     mirror.Item     // that is read
	expected [][]Expectation // of the writes
}

func (c *conditionalStore) CompareAndSwap(
	_ context.Context, expected []Expectation, _ string, _ []byte,
) (mirror.Revision, []mirror.Item, error) {
	c.expected = append(c.expected, expected)
	if c.current != nil {
		return mirror.NewRevision(c.revision.Era(), 0), c.current, ErrConflict
	}
	return c.revision, nil, nil
}

func (c *conditionalStore) Get(context.Context, string) (mirror.Item, error) { return c.item, nil }

// newOrderedReleases returns the releases of a daemon whose mirror is in an era, with an order
// for the service ledger.
func newOrderedReleases(t *testing.T, store Store, era mirror.Era) *releases {
	g := newTestGateway(t)
	g.dependencies.Store, g.dependencies.Releases, g.dependencies.Interpreter = store, releaseItems{}, releaseItems{}
	syncer := g.mirrorSyncer
	syncer.reader.HandlePeerReply(syncer.now(), nil, true, mirror.NewRevision(era, 40), 0)
	require.Equal(t, era, syncer.era())
	order := &release.Order{Target: "v2", Duration: clock.Minute, Revision: mirror.NewRevision(era, 30)}
	g.releases.apply([]routing.StoreUpdate{{Order: &routing.OrderUpdate{Service: "ledger", Order: order, Revision: order.Revision}}})
	return g.releases
}

// plannedWrite returns the write of a status that was planned in an era.
func plannedWrite(era mirror.Era) release.Action {
	return release.Action{
		Kind: release.WriteStatus, Status: release.Status{State: release.Running, Target: "v2"},
		Expect: mirror.NewRevision(era, 20), OrderRevision: mirror.NewRevision(era, 30),
	}
}

func (s *releases) status() release.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService["ledger"].Status()
}

// Guards against a write whose expected revisions stand for other items because the store was
// restored since it was planned.
func TestWriteOfEarlierEraIsNotSent(t *testing.T) {
	for name, era := range map[string]mirror.Era{"stated": mirror.NewEra(2, 0), "inferred": mirror.NewEra(1, 1)} {
		t.Run(name, func(t *testing.T) {
			store := &conditionalStore{revision: mirror.NewRevision(era, 50)}
			s := newOrderedReleases(t, store, era)
			s.writeStatus(t.Context(), "ledger", plannedWrite(mirror.NewEra(1, 0)))
			assert.Empty(t, store.expected)
			assert.Empty(t, s.status().Target)
			assert.EqualValues(t, 1, s.metrics()["releases.calls.write.outdated"])
			s.writeStatus(t.Context(), "ledger", plannedWrite(era))
			assert.Equal(t, [][]Expectation{{
				{Key: "status/ledger", Revision: mirror.NewRevision(era, 20)}, {Key: "order/ledger", Revision: mirror.NewRevision(era, 30)},
			}}, store.expected)
		})
	}
}

// Guards against a status that is ignored, or taken for an earlier one, because the store does
// not state the era in which it has answered.
func TestConditionalRepliesHaveKnownEra(t *testing.T) {
	era := mirror.NewEra(0, 1)
	want := mirror.NewRevision(era, 50)
	item := mirror.NewItem("status/ledger", []byte("v2"), revisionAt(50))
	for name, c := range map[string]struct {
		store *conditionalStore
		call  func(s *releases)
		want  mirror.Revision
	}{
		"written":  {&conditionalStore{revision: revisionAt(50)}, func(s *releases) { s.writeStatus(t.Context(), "ledger", plannedWrite(era)) }, want},
		"conflict": {&conditionalStore{current: []mirror.Item{item}}, func(s *releases) { s.writeStatus(t.Context(), "ledger", plannedWrite(era)) }, want},
		"read":     {&conditionalStore{item: item}, func(s *releases) { s.readStatus(t.Context(), "ledger") }, want},
		"read, absent": {
			&conditionalStore{item: mirror.NewRemoval("status/ledger", revisionAt(0))}, func(s *releases) { s.readStatus(t.Context(), "ledger") },
			mirror.NewRevision(era, 0),
		},
		"read in a later era": {
			&conditionalStore{item: mirror.NewItem("status/ledger", []byte("v2"), mirror.NewRevision(mirror.NewEra(1, 0), 50))},
			func(s *releases) { s.readStatus(t.Context(), "ledger") }, mirror.NewRevision(mirror.NewEra(1, 0), 50),
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOrderedReleases(t, c.store, era)
			c.call(s)
			assert.Equal(t, c.want, s.status().Revision)
		})
	}
}

// Guards against a release that stands still because a daemon that exchanges no mirrors with the others
// has not noticed a restore of the store: it ignores their directives, or they ignore its reports.
func TestRecordsOfReleasesTellEra(t *testing.T) {
	g := newTestGateway(t)
	s := g.mirrorSyncer
	s.applyChanges(s.reader.HandlePage(mirror.Call{}, s.now(), nil, revisionAt(4), false))
	require.Equal(t, mirror.Watch, s.reader.Next(s.now()).Kind())
	for _, inferred := range []uint64{2, 1} {
		directive := release.Directive{Target: "v2", Revision: mirror.NewRevision(mirror.NewEra(0, inferred), 3), Sequence: 1}
		g.releases.handleRecord(fleet.NewRecord(releaseDirectiveKind, "ledger\nb", 1, release.EncodeDirective(directive), releaseRecordLifetime))
	}
	store := &listedStore{listed: make(chan struct{}, 1)}
	s.store = store
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.run(ctx)
		close(done)
	}()
	select {
	case <-store.listed:
	case <-time.After(5 * time.Second):
		t.Error("the store is not listed again")
	}
	cancel()
	<-done
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, mirror.NewEra(0, 2), s.mirror.Revision().Era())
}

// listedStore is a store whose listing is empty. It reports each one.
type listedStore struct {
	Store
	listed chan struct{}
}

func (l *listedStore) List(context.Context, string, string) (Page, error) {
	select {
	case l.listed <- struct{}{}:
	default:
	}
	return Page{Revision: revisionAt(5)}, nil
}

func (l *listedStore) Watch(ctx context.Context, _ string, _ uint64, _ clock.Millis) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func (l *listedStore) Put(context.Context, string, []byte) error { return nil }
