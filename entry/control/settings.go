package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/rollout"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/entry/operators"
	"github.com/lovagegap/lovagegap/entry/platform"
)

// Document returns the settings document in force.
func (c *Control) Document() settings.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Tree returns the settings tree in force. It must not be changed.
func (c *Control) Tree() *settings.Tree {
	tree, _ := c.CurrentSettings()
	return tree
}

// CurrentSettings returns the settings tree in force and its revision, 0 if there is none.
// The tree must not be changed.
func (c *Control) CurrentSettings() (*settings.Tree, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree, c.document.Revision()
}

// SettingsKnown reports whether the settings in force are known: a document is in
// force, or the platform's store or an alive peer reported that there is none.
func (c *Control) SettingsKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settingsKnown
}

// Apply proposes a document that replaces the one at expectedRevision and waits
// for the outcome until ctx ends. It returns the accepted document, or an error of
// package operators: ErrConflict (together with the document that is present),
// ErrUnknownOutcome, ErrTooLarge or ErrUnavailable.
func (c *Control) Apply(
	ctx context.Context, expectedRevision uint64, document settings.Document,
) (settings.Document, error) {
	body, err := document.Encode()
	if err != nil {
		return settings.Document{}, err
	}
	finished := make(chan rollout.Action, 1)
	c.mu.Lock()
	if c.pendingChanges[document.ChangeID()] != nil {
		c.mu.Unlock()
		return settings.Document{}, errors.Wrapf(
			operators.ErrUnknownOutcome, "change %q is already in progress", document.ChangeID(),
		)
	}
	c.pendingChanges[document.ChangeID()] = finished
	proposal := rollout.NewProposal(expectedRevision, document.ChangeID(), body)
	c.performRollout(c.rollout.Propose(c.deps.Clock.Now(), proposal))
	c.mu.Unlock()
	defer c.forgetChange(document.ChangeID())
	select {
	case action := <-finished:
		return applyResult(action)
	case <-ctx.Done():
		return settings.Document{}, errors.Wrapf(operators.ErrUnknownOutcome, "change %q timed out", document.ChangeID())
	}
}

func (c *Control) forgetChange(changeID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingChanges, changeID)
}

// applyResult returns the result of Apply for a finished proposal.
func applyResult(action rollout.Action) (settings.Document, error) {
	switch action.Outcome() {
	case rollout.Applied:
		return decodeDocument(action.Document())
	case rollout.Conflict:
		present, _ := decodeDocument(action.Document())
		return present, errors.Wrapf(operators.ErrConflict, "found revision %d", action.Document().Revision())
	case rollout.Unknown:
		return settings.Document{}, operators.ErrUnknownOutcome
	case rollout.Invalid:
		return settings.Document{}, errors.Wrapf(operators.ErrTooLarge, "at most %d bytes are allowed", rollout.MaxBodyBytes)
	default:
		return settings.Document{}, errors.Wrap(operators.ErrUnavailable, action.Outcome().String())
	}
}

// decodeDocument decodes the settings document in a rollout document. The revision
// of the rollout document replaces the encoded one.
func decodeDocument(d rollout.Document) (settings.Document, error) {
	document, err := settings.DecodeDocument(d.Body())
	if err != nil {
		return settings.Document{}, err
	}
	return document.WithRevision(d.Revision()), nil
}

// receivePeerSettings records the settings version that a peer has in force. An
// alive peer without settings means that the fleet has none yet.
func (c *Control) receivePeerSettings(now clock.Millis, peer fleet.ID, version fleet.SettingsVersion) {
	c.peerVersions[peer] = version
	member, ok := c.membership.Member(peer)
	if ok && member.State() == fleet.Alive && version.Revision() == 0 {
		c.settingsKnown = true
	}
	c.performRollout(c.rollout.ReceivePeerSettings(now, peer, version))
}

// performRollout performs actions of the rollout. Store calls run on their own
// goroutines and report to handlePlatformEvent. The caller holds the lock.
func (c *Control) performRollout(actions []rollout.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case rollout.Send:
			encoded, err := rollout.Encode(c.membership.Self(), action.Message())
			c.send(action.Peer(), encoded, err)
		case rollout.Watch:
			c.watchStore(action)
		case rollout.Unwatch:
			if c.cancelWatch != nil {
				c.cancelWatch()
			}
		case rollout.Read:
			c.callStore(rollout.CallTimeout, action, c.readDocument)
		case rollout.CompareAndSwap:
			c.callStore(rollout.CallTimeout, action, c.swapDocument)
		case rollout.ApplyDocument:
			c.applyDocument(action.Document())
		case rollout.ReportOutcome:
			if finished := c.pendingChanges[action.ChangeID()]; finished != nil {
				finished <- action
				delete(c.pendingChanges, action.ChangeID())
			}
		}
	}
}

// applyDocument puts a document in force. Settings that this version of the daemon
// does not know, because a newer version accepted them, are ignored and recorded in
// the journal.
func (c *Control) applyDocument(d rollout.Document) {
	document, err := decodeDocument(d)
	if err != nil {
		c.reportUnreadable(d, err)
		return
	}
	tree, unknown, err := settings.ParseAccepted(document.Text())
	if err != nil {
		c.reportUnreadable(d, err)
		return
	}
	for _, problem := range unknown {
		c.deps.Journal.Add(c.deps.Clock.Now(), journal.Settings, d.ChangeID(), "left out: "+problem.String())
	}
	c.document, c.tree, c.settingsKnown = document, tree, true
	c.membership.SetSettingsVersion(c.rollout.SettingsVersion())
	if e, ok := tree.Effective(); ok {
		c.addresses.Configure(e.AddressesCount(), e.AddressesLifetime())
	}
	c.deps.Observer.SettingsApplied(tree, document.Revision())
	c.deps.Log.Info("control: settings in force", "revision", document.Revision(), "change", document.ChangeID())
}

// reportUnreadable records a document that cannot be decoded. The previous document
// stays in force.
func (c *Control) reportUnreadable(d rollout.Document, err error) {
	c.deps.Journal.Add(c.deps.Clock.Now(), journal.Settings, d.ChangeID(), "unreadable: "+err.Error())
	c.deps.Log.Error(err, "control: settings document not decoded", "revision", d.Revision())
}

// watchStore waits for another revision of the document. A watch that ends by its
// timeout means that the document is unchanged; a cancelled one reports nothing.
func (c *Control) watchStore(action rollout.Action) {
	ctx, cancel := context.WithTimeout(c.ctx, rollout.WatchTimeout.Duration())
	c.cancelWatch = cancel
	c.storeCalls.Go(func() {
		defer cancel()
		value, err := c.deps.Store.Watch(ctx, settingsKey, action.Token())
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return
		case ctx.Err() != nil && err != nil:
			c.handlePlatformEvent(rollout.NewEvent(rollout.Unchanged, action.CallID(), action.Token(), rollout.Document{}))
		default:
			c.handlePlatformEvent(newValueEvent(rollout.Value, action, value, err))
		}
	})
}

// callStore calls the store on a new goroutine and handles the resulting event.
func (c *Control) callStore(
	timeout clock.Millis, action rollout.Action, request func(context.Context, rollout.Action) rollout.Event,
) {
	c.storeCalls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout.Duration())
		defer cancel()
		event := request(ctx, action)
		if c.ctx.Err() == nil {
			c.handlePlatformEvent(event)
		}
	})
}

func (c *Control) readDocument(ctx context.Context, action rollout.Action) rollout.Event {
	value, err := c.deps.Store.Get(ctx, settingsKey)
	return newValueEvent(rollout.Value, action, value, err)
}

func (c *Control) swapDocument(ctx context.Context, action rollout.Action) rollout.Event {
	data, err := action.Document().EncodeStored()
	if err != nil {
		return rollout.NewEvent(rollout.Failed, action.CallID(), 0, rollout.Document{})
	}
	value, err := c.deps.Store.CompareAndSwap(ctx, settingsKey, data, action.Token())
	if errors.Is(err, platform.ErrConflict) {
		return newValueEvent(rollout.WriteConflict, action, value, nil)
	}
	if err != nil {
		return rollout.NewEvent(rollout.Failed, action.CallID(), 0, rollout.Document{})
	}
	return rollout.NewEvent(rollout.Written, action.CallID(), value.Revision(), action.Document())
}

// newValueEvent returns the event for a value of the key. A value of revision 0
// (the key was never written) has no document.
func newValueEvent(kind rollout.EventKind, action rollout.Action, value platform.Value, err error) rollout.Event {
	failed := rollout.NewEvent(rollout.Failed, action.CallID(), 0, rollout.Document{})
	if err != nil {
		return failed
	}
	if value.Revision() == 0 {
		return rollout.NewEvent(kind, action.CallID(), 0, rollout.Document{})
	}
	document, err := rollout.ParseStored(value.Data())
	if err != nil {
		return failed
	}
	return rollout.NewEvent(kind, action.CallID(), value.Revision(), document)
}

// handlePlatformEvent passes the result of a store call to the rollout.
func (c *Control) handlePlatformEvent(e rollout.Event) {
	c.update(func(now clock.Millis) {
		if e.Kind() == rollout.Value && e.Token() == 0 {
			c.settingsKnown = true
		}
		c.performRollout(c.rollout.HandlePlatformEvent(now, e))
	})
}
