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

// Document returns the document in force.
func (c *Control) Document() settings.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Tree returns the tree in force.
func (c *Control) Tree() *settings.Tree {
	tree, _ := c.InForce()
	return tree
}

// InForce returns the tree in force and its revision.
func (c *Control) InForce() (*settings.Tree, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree, c.document.Revision()
}

// Known reports whether the settings in force are known: a document is in
// force, or the platform or a serving daemon said that there is none.
func (c *Control) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Apply asks the platform to accept a document in place of revision expect and
// waits for the outcome. It returns the sentinels of package operators, with
// ErrConflict the document that is present.
func (c *Control) Apply(ctx context.Context, expect uint64, document settings.Document) (settings.Document, error) {
	body, err := document.Encode()
	if err != nil {
		return settings.Document{}, err
	}
	settled := make(chan rollout.Action, 1)
	c.mu.Lock()
	if c.waiting[document.ChangeID()] != nil {
		c.mu.Unlock()
		return settings.Document{}, errors.Wrap(operators.ErrUnknownOutcome, "the same change is being settled")
	}
	c.waiting[document.ChangeID()] = settled
	proposal := rollout.NewProposal(expect, document.ChangeID(), body)
	c.performRollout(c.rollout.Propose(c.parts.Clock.Now(), proposal))
	c.mu.Unlock()
	defer c.forget(document.ChangeID())
	select {
	case action := <-settled:
		return outcome(action)
	case <-ctx.Done():
		return settings.Document{}, errors.Wrap(operators.ErrUnknownOutcome, "no outcome in time")
	}
}

func (c *Control) forget(change string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, change)
}

func outcome(action rollout.Action) (settings.Document, error) {
	switch action.Outcome() {
	case rollout.Applied:
		return decode(action.Document())
	case rollout.Conflict:
		present, _ := decode(action.Document())
		return present, errors.Wrapf(operators.ErrConflict, "revision %d is present", action.Document().Revision())
	case rollout.Unknown:
		return settings.Document{}, operators.ErrUnknownOutcome
	case rollout.Invalid:
		return settings.Document{}, errors.Wrapf(operators.ErrTooLarge, "at most %d bytes are allowed", rollout.MaxBodyBytes)
	default:
		return settings.Document{}, errors.Wrap(operators.ErrUnavailable, action.Outcome().String())
	}
}

// decode reads the settings document that a rollout document carries. The
// rollout's revision is the one that counts.
func decode(d rollout.Document) (settings.Document, error) {
	document, err := settings.DecodeDocument(d.Body())
	if err != nil {
		return settings.Document{}, err
	}
	return document.WithRevision(d.Revision()), nil
}

// settingsSeen takes the settings that a peer has in force.
func (c *Control) settingsSeen(now clock.Millis, peer fleet.ID, seen fleet.SettingsVersion) {
	c.seen[peer] = seen
	member, ok := c.membership.Member(peer)
	if ok && member.State() == fleet.Alive && seen.Revision() == 0 {
		c.known = true
	}
	c.performRollout(c.rollout.ReceivePeerSettings(now, peer, seen))
}

// performRollout carries out actions of the rollout. Calls of the platform run
// on goroutines of their own and come back as events.
func (c *Control) performRollout(actions []rollout.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case rollout.Send:
			text, err := rollout.Encode(c.membership.Self(), action.Message())
			c.send(action.Peer(), text, err)
		case rollout.Watch:
			c.watch(action)
		case rollout.Unwatch:
			if c.unwatch != nil {
				c.unwatch()
			}
		case rollout.Read:
			c.call(rollout.CallTimeout, action, c.read)
		case rollout.CompareAndSwap:
			c.call(rollout.CallTimeout, action, c.swap)
		case rollout.ApplyDocument:
			c.inForce(action.Document())
		case rollout.ReportOutcome:
			if settled := c.waiting[action.ChangeID()]; settled != nil {
				settled <- action
				delete(c.waiting, action.ChangeID())
			}
		}
	}
}

// inForce puts a document in force. What this version does not know, because a
// newer one accepted it, is left out, which the journal tells.
func (c *Control) inForce(d rollout.Document) {
	document, err := decode(d)
	if err != nil {
		c.unreadable(d, err)
		return
	}
	tree, unknown, err := settings.ParseAccepted(document.Text())
	if err != nil {
		c.unreadable(d, err)
		return
	}
	for _, problem := range unknown {
		c.parts.Journal.Add(c.parts.Clock.Now(), journal.Settings, d.ChangeID(), "left out: "+problem.String())
	}
	c.document, c.tree, c.known = document, tree, true
	c.membership.SetSettingsVersion(c.rollout.SettingsVersion())
	if e, ok := tree.Effective(); ok {
		c.addresses.Configure(e.AddressesCount(), e.AddressesLifetime())
	}
	c.parts.Observer.SettingsInForce(tree, document.Revision())
	c.parts.Log.Info("control: settings in force", "revision", document.Revision(), "change", document.ChangeID())
}

func (c *Control) unreadable(d rollout.Document, err error) {
	c.parts.Journal.Add(c.parts.Clock.Now(), journal.Settings, d.ChangeID(), "unreadable: "+err.Error())
	c.parts.Log.Error(err, "control: settings unreadable", "revision", d.Revision())
}

func (c *Control) watch(action rollout.Action) {
	ctx, cancel := context.WithTimeout(c.ctx, rollout.WatchTimeout.Duration())
	c.unwatch = cancel
	c.wait.Go(func() {
		defer cancel()
		value, err := c.parts.Store.Watch(ctx, settingsKey, action.Token())
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return
		case ctx.Err() != nil && err != nil:
			c.event(rollout.NewEvent(rollout.Unchanged, action.CallID(), action.Token(), rollout.Document{}))
		default:
			c.event(valueEvent(rollout.Value, action, value, err))
		}
	})
}

// call runs one call of the platform with a time limit.
func (c *Control) call(limit clock.Millis, action rollout.Action, do func(context.Context, rollout.Action) rollout.Event) {
	c.wait.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit.Duration())
		defer cancel()
		event := do(ctx, action)
		if c.ctx.Err() == nil {
			c.event(event)
		}
	})
}

func (c *Control) read(ctx context.Context, action rollout.Action) rollout.Event {
	value, err := c.parts.Store.Get(ctx, settingsKey)
	return valueEvent(rollout.Value, action, value, err)
}

func (c *Control) swap(ctx context.Context, action rollout.Action) rollout.Event {
	text, err := action.Document().EncodeStored()
	if err != nil {
		return rollout.NewEvent(rollout.Failed, action.CallID(), 0, rollout.Document{})
	}
	value, err := c.parts.Store.CompareAndSwap(ctx, settingsKey, text, action.Token())
	if errors.Is(err, platform.ErrConflict) {
		return valueEvent(rollout.WriteConflict, action, value, nil)
	}
	if err != nil {
		return rollout.NewEvent(rollout.Failed, action.CallID(), 0, rollout.Document{})
	}
	return rollout.NewEvent(rollout.Written, action.CallID(), value.Revision(), action.Document())
}

// valueEvent turns the state of the key into an event. A key that was never
// written holds no document.
func valueEvent(kind rollout.EventKind, action rollout.Action, value platform.Value, err error) rollout.Event {
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

func (c *Control) event(e rollout.Event) {
	c.do(func(now clock.Millis) {
		if e.Kind() == rollout.Value && e.Token() == 0 {
			c.known = true
		}
		c.performRollout(c.rollout.HandlePlatformEvent(now, e))
	})
}
