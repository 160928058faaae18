// Package quota divides fleet-wide limits among the daemons and bounds the extra
// requests that a daemon may send.
//
// Share divides a total, such as the connection limit of an upstream, among the
// members of the fleet without any communication: members with the same member
// list compute shares that sum to the total. Table does the same for many
// resources at a fraction of the cost, and Change updates the ranks in a Table
// after members were added or removed. Budget is a token bucket for retries and
// hedges that earns a fraction of a token with each regular request.
// WindowBudget bounds extra requests in a sliding window of time.
//
// # Usage
//
//	share := quota.Share("10.0.0.7:80", 45, self, members)
//
//	table := quota.NewTable(members)
//	for _, id := range upstreams {
//		share := table.Share(id, 45, self)
//	}
//
//	var retries quota.Budget
//	retries.Configure(0.1, 10)
//	retries.RecordRegular(1)
//	if retries.Take(1) { ... }
//
//	var repeats quota.WindowBudget
//	repeats.Configure(0.2, 20, 10*clock.Second, now)
//	repeats.RecordRegular(now)
//	if repeats.Take(now, 0) { ... }
package quota

// Share returns the share of self in total. Each member gets total/len(members),
// rounded down; the remainder goes, one each, to the members ranked first for
// resource by rendezvous hashing. The share is zero if self is not in members.
func Share(resource string, total int, self string, members []string) int {
	return NewTable(members).Share(resource, total, self)
}

// Rank returns the position of self among members for resource by rendezvous
// hashing, starting from zero. It returns false if self is not a member.
func Rank(resource, self string, members []string) (int, bool) {
	return NewTable(members).Rank(resource, self)
}

// First returns the member ranked first for resource, or "" if members is empty.
func First(resource string, members []string) string {
	return NewTable(members).First(resource)
}
