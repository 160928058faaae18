package fleet

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// parseMessage builds the message of a kind and checks every field, so that the
// state machine meets only values that a correct peer can send.
func parseMessage(kind Kind, wire WireMessage) (Message, error) {
	switch kind {
	case KindHello:
		return parseHello(wire)
	case KindPing, KindAck:
		digests, err := parseSummary(wire.Summary)
		if kind == KindPing {
			return NewPing(wire.Sequence, digests), err
		}
		return NewAck(wire.Sequence, digests), err
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
		return nil, errors.Wrap(ErrMalformed, "unknown kind")
	}
}

func parseHello(wire WireMessage) (Message, error) {
	if wire.Self == nil {
		return nil, errors.Wrap(ErrMalformed, "hello without the sender's record")
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
	digests, err := parseSummary(wire.Summary)
	return NewHello(self, peer, digests), err
}

func parseID(text string) (ID, error) {
	if text == "" || len(text) > maxTextBytes {
		return "", errors.Wrap(ErrMalformed, "id out of range")
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
		return Member{}, errors.Wrapf(ErrMalformed, "member state %d", wire.State)
	case len(wire.CallerAddress) > maxTextBytes || len(wire.DataCentre) > maxTextBytes || len(wire.Region) > maxTextBytes:
		return Member{}, errors.Wrap(ErrMalformed, "member field too long")
	case wire.Incarnation > maxIncarnation:
		return Member{}, errors.Wrap(ErrMalformed, "incarnation out of range")
	case !isFinite(float64(wire.Load)):
		return Member{}, errors.Wrap(ErrMalformed, "load is not a number")
	}
	m := NewMember(id, wire.CallerAddress, wire.DataCentre, wire.Region, wire.Incarnation).WithState(state)
	m.load = float64(wire.Load)
	return m, nil
}

func parseMembers(wire []WireMember) ([]Member, error) {
	if len(wire) > maxRowsPerMessage {
		return nil, errors.Wrapf(ErrMalformed, "%d members", len(wire))
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
		return Summary{}, errors.Wrap(ErrMalformed, "summary is missing or not a number")
	}
	settings := NewSettingsVersion(wire.SettingsRevision, wire.SettingsDigest)
	return NewSummary(wire.TableDigest, wire.RecordsDigest, settings, float64(wire.Load)), nil
}

func parseBucketDigests(wire []uint64) ([bucketCount]uint64, error) {
	if len(wire) != bucketCount {
		return [bucketCount]uint64{}, errors.Wrapf(ErrMalformed, "%d buckets", len(wire))
	}
	return [bucketCount]uint64(wire), nil
}

func parseRecords(wire []WireRecord) ([]Record, error) {
	if len(wire) > maxRowsPerMessage {
		return nil, errors.Wrapf(ErrMalformed, "%d records", len(wire))
	}
	records := make([]Record, 0, len(wire))
	for _, w := range wire {
		lifetime := clock.Millis(w.Lifetime)
		switch {
		case w.Kind == "" || len(w.Kind) > maxTextBytes || len(w.Key) > maxTextBytes:
			return nil, errors.Wrap(ErrMalformed, "record name out of range")
		case len(w.Body) > MaxRecordBodyBytes:
			return nil, errors.Wrapf(ErrMalformed, "record of %d bytes", len(w.Body))
		case !isFinite(w.Lifetime) || lifetime < 0 || lifetime > maxRecordLifetime:
			return nil, errors.Wrap(ErrMalformed, "record lifetime out of range")
		}
		records = append(records, NewRecord(w.Kind, w.Key, w.Sequence, w.Body, lifetime))
	}
	return records, nil
}
