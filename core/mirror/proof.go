package mirror

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// proofMarginFraction of the limit on the age of a proof is left for the delays and
	// the clock of this daemon.
	proofMarginFraction = 0.05
	// proofRefreshFraction is the fraction of the limit from which a daemon asks peers
	// for their proofs. In normal operation a proof does not become so old.
	proofRefreshFraction = 0.55
	// minProofGain is the least time by which the proof of a source must be later than that
	// of a follower for a reply without changes. It is above the time of a message, by which
	// a follower dates a proof too early, and below the interval of proofs.
	minProofGain = 250 * clock.Millisecond
	// noProofAge stands for the age of a proof that does not exist.
	noProofAge = 24 * clock.Hour
)

// MaxProofAge returns the age up to which a proof shows that a key that was removed longer
// than revocation ago is not in the mirror.
func MaxProofAge(revocation clock.Millis) clock.Millis { return revocation * (1 - proofMarginFraction) }

// PeerProof is what a daemon states about its proof of freshness in a reply to a peer. Both
// durations end at the same instant, between the arrival of the request and the reply.
type PeerProof struct {
	Age  clock.Millis // since the instant of the proof
	Held clock.Millis // since the arrival of the request
}

// valid reports whether a statement in the reply to a request that took elapsed is
// possible.
func (p PeerProof) valid(elapsed clock.Millis) bool {
	return p.Age >= 0 && p.Held >= 0 && p.Held <= elapsed // false for NaN
}

// ProvenAt returns the latest instant for which the mirror is proven to hold all changes
// that the store had confirmed, on the clock that counts suspension, and false if there is
// none. It is the instant at which a call was sent whose reply has brought the mirror up to
// date, never that of the reply: the reply may be delayed without limit.
func (r *Reader) ProvenAt() (clock.Millis, bool) { return r.provenAt, r.proven }

// prove records a proof. An older one than the present one is ignored.
func (r *Reader) prove(at clock.Millis) {
	if !r.mirror.Complete() || (r.proven && at <= r.provenAt) {
		return
	}
	r.provenAt, r.proven = at, true
}

// StateProof returns the statement for the reply to a request of a peer that arrived at an
// instant, and false if there is no proof. Both instants are on the clock that counts
// suspension.
func (r *Reader) StateProof(now, arrivedAt clock.Millis) (PeerProof, bool) {
	return PeerProof{Age: now - r.provenAt, Held: now - arrivedAt}, r.proven
}

// ProofAge returns the age of the proof, for a request to a peer.
func (r *Reader) ProofAge(now clock.Millis) clock.Millis {
	if !r.proven {
		return noProofAge
	}
	return now - r.provenAt
}

// HasNewerProof reports whether a follower is to get a reply at once, because this daemon's
// proof is later than that of the follower. The follower's proof had the age when it sent
// the request, which arrived at an instant.
func (r *Reader) HasNewerProof(now, arrivedAt, age clock.Millis) bool {
	return r.proven && now-r.provenAt+minProofGain < age+now-arrivedAt
}

// HandlePeerProof records the proof that a peer states in its reply, after the changes in
// the reply have been applied. The revision is that of the peer's mirror. SentAt is the
// instant at which the request was sent and receivedAt that of the reply, on the clock that
// counts suspension. The request arrived after sentAt, so the peer's proof is at least as
// late as sentAt + Held - Age, however long the reply took. It also holds for a mirror that
// is ahead of the peer's in the same era.
func (r *Reader) HandlePeerProof(sentAt, receivedAt clock.Millis, revision Revision, proof PeerProof) {
	if revision.IsZero() || revision.era != r.mirror.Revision().era || r.mirror.Revision().Before(revision) || !proof.valid(receivedAt-sentAt) {
		return
	}
	r.prove(sentAt + proof.Held - proof.Age)
}

// SetMaxProofAge sets the limit on the age of the proof; 0, the default, is none.
func (r *Reader) SetMaxProofAge(limit clock.Millis) { r.maxProofAge = limit }

// ProofOld reports whether the proof is so old that several peers are asked for theirs.
func (r *Reader) ProofOld(suspendingNow clock.Millis) bool {
	return r.maxProofAge > 0 && r.ProofAge(suspendingNow) > r.maxProofAge*proofRefreshFraction
}
