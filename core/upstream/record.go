package upstream

import "cmp"

// ColdRecord is the state of an upstream's cold start as daemons exchange it. An
// episode is one cold start of the upstream. A record with a higher episode
// replaces an older one, as does a higher sequence within the same episode.
type ColdRecord struct {
	upstream ID
	episode  uint64
	sequence uint64
	boot     string
	level    int
	owner    string
	warm     bool
}

// NewColdRecord returns a record with the fields received from a peer. The fields
// are described at the methods of ColdRecord.
func NewColdRecord(upstream ID, episode, sequence uint64, boot string, level int, owner string, warm bool) ColdRecord {
	return ColdRecord{
		upstream: upstream, episode: episode, sequence: sequence,
		boot: boot, level: level, owner: owner, warm: warm,
	}
}

// Upstream returns the upstream that the record is about.
func (r ColdRecord) Upstream() ID { return r.upstream }

// Episode returns the number of the cold start. It grows with each cold start of
// the upstream and is at least its beginning in milliseconds of the clock.
func (r ColdRecord) Episode() uint64 { return r.episode }

// Sequence returns the number of the change within the episode.
func (r ColdRecord) Sequence() uint64 { return r.sequence }

// Boot returns the boot id of the upstream's process, or "" if unknown.
func (r ColdRecord) Boot() string { return r.boot }

// Level returns the concurrency that the whole fleet may have at the upstream.
func (r ColdRecord) Level() int { return r.level }

// Owner returns the daemon that wrote the record.
func (r ColdRecord) Owner() string { return r.owner }

// Warm reports whether the cold start is over.
func (r ColdRecord) Warm() bool { return r.warm }

// compare orders records by upstream.
func (r ColdRecord) compare(other ColdRecord) int {
	return cmp.Compare(r.upstream, other.upstream)
}

// newer reports whether r replaces other. Two daemons write the same sequence
// when each takes itself for the manager; the lower level then wins, so that the
// upstream is not overloaded.
func (r ColdRecord) newer(other ColdRecord) bool {
	if r.episode != other.episode {
		return r.episode > other.episode
	}
	if r.sequence != other.sequence {
		return r.sequence > other.sequence
	}
	if r.warm != other.warm {
		return !r.warm
	}
	if r.level != other.level {
		return r.level < other.level
	}
	return r.owner < other.owner
}
