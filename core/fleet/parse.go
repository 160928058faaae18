package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// parseMessage returns the message of a kind. It checks every field, so that the
// state machine receives only values that a correct peer can send. Its errors are
// ErrMalformed.
func parseMessage(kind Kind, wire WireMessage) (Message, error) {
	switch kind {
	case KindHello:
		return parseHello(wire)
	case KindPing, KindAck:
		summary, err := parseSummary(wire.Summary)
		if kind == KindPing {
			return NewPing(wire.Sequence, summary), err
		}
		return NewAck(wire.Sequence, summary), err
	case KindProbe:
		target, err := parseID(wire.Target)
		return NewProbe(target), err
	case KindProbeResult:
		target, err := parseID(wire.Target)
		return NewProbeResult(target), err
	case KindMembers:
		members, err := parseMembers(wire.Members)
		return NewMembers(members), err
	case KindTableDigests:
		digests, err := parseBucketDigests(wire.BucketDigests)
		return NewTableDigests(digests), err
	case KindTableRows:
		members, err := parseMembers(wire.Members)
		return NewTableRows(wire.CompleteBuckets, members), err
	case KindRecords:
		records, err := parseRecords(wire.Records)
		return NewRecords(records), err
	case KindRecordDigests:
		digests, err := parseBucketDigests(wire.BucketDigests)
		return NewRecordDigests(digests), err
	case KindRecordRows:
		records, err := parseRecords(wire.Records)
		return NewRecordRows(wire.CompleteBuckets, records), err
	default:
		return nil, errors.Wrap(ErrMalformed, "unknown message kind")
	}
}

func parseHello(wire WireMessage) (Message, error) {
	if wire.Self == nil {
		return nil, errors.Wrap(ErrMalformed, "hello lacks the sender's record")
	}
	self, err := parseMember(*wire.Self)
	if err != nil {
		return nil, err
	}
	var peer Member
	if wire.Peer != nil {
		if peer, err = parseMember(*wire.Peer); err != nil {
			return nil, err
		}
	}
	summary, err := parseSummary(wire.Summary)
	return NewHello(self, peer, summary), err
}

func parseID(text string) (ID, error) {
	if text == "" || len(text) > maxTextBytes {
		return "", errors.Wrapf(ErrMalformed, "daemon id of %d bytes, want 1 to %d", len(text), maxTextBytes)
	}
	return ID(text), nil
}

func parseMember(wire WireMember) (Member, error) {
	id, err := parseID(wire.ID)
	if err != nil {
		return Member{}, err
	}
	state := State(wire.State)
	switch {
	case state < Joining || state > Left:
		return Member{}, errors.Wrapf(ErrMalformed, "member %q has unknown state %d", wire.ID, wire.State)
	case len(wire.CallerAddress) > maxTextBytes || len(wire.DataCentre) > maxTextBytes || len(wire.Region) > maxTextBytes:
		return Member{}, errors.Wrapf(ErrMalformed, "member %q has a field longer than %d bytes", wire.ID, maxTextBytes)
	case wire.Incarnation > maxIncarnation:
		return Member{}, errors.Wrapf(ErrMalformed, "member %q has incarnation %d, limit %d",
			wire.ID, wire.Incarnation, maxIncarnation)
	case !isFinite(float64(wire.Load)):
		return Member{}, errors.Wrapf(ErrMalformed, "member %q has load %v", wire.ID, wire.Load)
	}
	m := NewMember(id, wire.CallerAddress, wire.DataCentre, wire.Region, wire.Incarnation).WithState(state)
	m.load = float64(wire.Load)
	return m, nil
}

func parseMembers(wire []WireMember) ([]Member, error) {
	if len(wire) > maxRowsPerMessage {
		return nil, errors.Wrapf(ErrMalformed, "%d member records, limit %d", len(wire), maxRowsPerMessage)
	}
	members := make([]Member, 0, len(wire))
	for _, w := range wire {
		m, err := parseMember(w)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

func parseSummary(wire *WireSummary) (Summary, error) {
	if wire == nil || !isFinite(float64(wire.Load)) {
		return Summary{}, errors.Wrap(ErrMalformed, "summary missing or its load not finite")
	}
	version := NewSettingsVersion(wire.SettingsRevision, wire.SettingsDigest)
	return NewSummary(wire.TableDigest, wire.RecordsDigest, version, float64(wire.Load)), nil
}

func parseBucketDigests(wire []uint64) ([bucketCount]uint64, error) {
	if len(wire) != bucketCount {
		return [bucketCount]uint64{}, errors.Wrapf(ErrMalformed, "%d bucket digests, want %d", len(wire), bucketCount)
	}
	return [bucketCount]uint64(wire), nil
}

func parseRecords(wire []WireRecord) ([]Record, error) {
	if len(wire) > maxRowsPerMessage {
		return nil, errors.Wrapf(ErrMalformed, "%d records, limit %d", len(wire), maxRowsPerMessage)
	}
	records := make([]Record, 0, len(wire))
	for _, w := range wire {
		lifetime := clock.Millis(w.Lifetime)
		switch {
		case w.Kind == "" || len(w.Kind) > maxTextBytes || len(w.Key) > maxTextBytes:
			return nil, errors.Wrapf(ErrMalformed, "record has a kind of %d bytes and a key of %d bytes, limit %d",
				len(w.Kind), len(w.Key), maxTextBytes)
		case len(w.Body) > MaxRecordBodyBytes:
			return nil, errors.Wrapf(ErrMalformed, "record %q of kind %q has a body of %d bytes, limit %d",
				w.Key, w.Kind, len(w.Body), MaxRecordBodyBytes)
		case !isFinite(w.Lifetime) || lifetime < 0 || lifetime > maxRecordLifetime:
			return nil, errors.Wrapf(ErrMalformed, "record %q of kind %q has a lifetime of %v ms, want 0 to %v ms",
				w.Key, w.Kind, w.Lifetime, float64(maxRecordLifetime))
		}
		records = append(records, NewRecord(w.Kind, w.Key, w.Sequence, w.Body, lifetime))
	}
	return records, nil
}
