package inventory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

const self = "10.0.0.1:7200"

func upstreamVM(address string) inventory.VM {
	return inventory.NewUpstreamVM(address, "u/s", "ikeja", "west")
}

// receiveRecords passes records to i, which must accept them.
func receiveRecords(t *testing.T, i *inventory.Inventory, records ...fleet.Record) {
	t.Helper()
	for _, record := range records {
		known, err := i.ReceiveRecord(0, record)
		require.NoError(t, err)
		require.True(t, known)
	}
}

// Guards against records that are published after each reading of an unchanged
// list, and against records that expire although the VM is still listed.
func TestVMListPublishesChangesAndRepublishes(t *testing.T) {
	var i inventory.Inventory
	list := []inventory.VM{upstreamVM("a"), upstreamVM("b")}
	require.Len(t, i.ObserveVMList(0, list), 2)
	require.Empty(t, i.ObserveVMList(1*clock.Second, list))
	leaving := []inventory.VM{upstreamVM("a").AsLeaving(), upstreamVM("b")}
	require.Len(t, i.ObserveVMList(2*clock.Second, leaving), 1)
	require.Len(t, i.ObserveVMList(2*clock.Second+2*clock.Hour, leaving), 2)
}

// Guards against a VM that is listed again because an old record of it arrives after
// its removal from the platform's list.
func TestGoneVMStaysGone(t *testing.T) {
	var reader, other inventory.Inventory
	first := reader.ObserveVMList(1, []inventory.VM{upstreamVM("a"), upstreamVM("b")})
	receiveRecords(t, &other, first...)
	require.Len(t, other.VMs(), 2)
	receiveRecords(t, &other, reader.ObserveVMList(2*clock.Second, []inventory.VM{upstreamVM("b")})...)
	receiveRecords(t, &other, first...)
	require.Len(t, other.VMs(), 1)
	require.Equal(t, "b", other.VMs()[0].Address())
}

// Guards against a VM that is listed again in the whole fleet, or one that is missing in
// it: another daemon has published a newer list while this one waited for its own.
func TestDelayedVMListIsNotPublished(t *testing.T) {
	var slow, fast inventory.Inventory
	receiveRecords(t, &slow, fast.ObserveVMList(0, []inventory.VM{upstreamVM("left"), upstreamVM("stays")})...)
	list := []inventory.VM{upstreamVM("stays").AsLeaving(), upstreamVM("new")}
	for _, record := range fast.ObserveVMList(2*clock.Second, list) {
		_, err := slow.ReceiveRecord(2*clock.Second, record)
		require.NoError(t, err)
	}
	delayed := []inventory.VM{upstreamVM("left"), upstreamVM("stays")}
	require.Empty(t, slow.ObserveVMList(1*clock.Second, delayed))
	require.Equal(t, fast.VMs(), slow.VMs())
	require.Len(t, slow.ObserveVMList(3*clock.Second, delayed), 3, "a later list applies")
}

// Guards against an upstream that counts as ready again in the whole fleet although it is
// leaving: another daemon has published its status while this one waited for its own poll.
func TestDelayedStatusIsNotPublished(t *testing.T) {
	var slow, fast inventory.Inventory
	ready := inventory.NewStatus("a", "boot-1", false, false, nil)
	leaving := inventory.NewStatus("a", "boot-1", false, true, nil)
	receiveRecords(t, &slow, fast.ObserveStatus(0, ready)...)
	for _, record := range fast.ObserveStatus(2*clock.Second, leaving) {
		_, err := slow.ReceiveRecord(2*clock.Second, record)
		require.NoError(t, err)
	}
	require.Empty(t, slow.ObserveStatus(1*clock.Second, ready))
	found, _ := slow.Status("a")
	require.Equal(t, leaving, found)
	require.Len(t, slow.ObserveStatus(3*clock.Second, ready), 1, "a later status applies")
}

// Guards against the removal of all upstreams at once when a restored platform
// returns an empty list.
func TestEmptyListRemovesNoVM(t *testing.T) {
	var i inventory.Inventory
	i.ObserveVMList(0, []inventory.VM{upstreamVM("a")})
	require.Empty(t, i.ObserveVMList(clock.Second, nil))
	require.Len(t, i.VMs(), 1)
}

// Guards against an upstream that is used by its old status when the list goes back to a
// state from before its removal, and against daemons that keep the older list.
func TestListThatWentBackIsFollowed(t *testing.T) {
	var reader, other inventory.Inventory
	older := []inventory.VM{upstreamVM("removed"), upstreamVM("stays")}
	newer := []inventory.VM{upstreamVM("added"), upstreamVM("stays")}
	status := inventory.NewStatus("removed", "boot-1", false, false, nil)
	receiveRecords(t, &other, reader.ObserveStatus(0, status)...)
	for second, list := range [][]inventory.VM{older, newer, older, newer} {
		for _, record := range reader.ObserveVMList(clock.Millis(second)*clock.Second, list) {
			_, err := other.ReceiveRecord(clock.Millis(second)*clock.Second, record)
			require.NoError(t, err)
		}
		require.Equal(t, list, reader.VMs())
		require.Equal(t, list, other.VMs())
		for _, i := range []*inventory.Inventory{&reader, &other} {
			_, known := i.Status("removed")
			require.Equal(t, second == 0, known, "the status is known again only from a new poll")
		}
	}
}

// Guards against calls to the platform that grow with the fleet, and against
// upstreams that no daemon polls.
func TestTwoReadersPerResource(t *testing.T) {
	var members []string
	for n := range 40 {
		members = append(members, string(rune('A'+n)))
	}
	list := []inventory.VM{
		upstreamVM("a"), upstreamVM("b"), upstreamVM("c"), inventory.NewEntryVM("e", self, "ikeja", "west"),
	}
	reads := 0
	polls := map[string]int{}
	for _, member := range members {
		var i inventory.Inventory
		i.SetMembers(member, members)
		i.ObserveVMList(0, list)
		if i.ReadsVMList() {
			reads++
		}
		for _, address := range i.PolledUpstreams() {
			polls[address]++
		}
	}
	require.Equal(t, 2, reads)
	require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2}, polls)
}

// Guards against a status that loses a field on its way to peers, and against records
// that are published although the status is unchanged.
func TestStatusReachesPeers(t *testing.T) {
	var poller, other inventory.Inventory
	holdings := []snapshot.Holding{snapshot.NewHolding(7, 3, []snapshot.Shard{1, 2})}
	status := inventory.NewStatus("a", "boot-1", true, false, holdings)
	records := poller.ObserveStatus(0, status)
	require.Len(t, records, 1)
	require.Empty(t, poller.ObserveStatus(clock.Second, status))
	receiveRecords(t, &other, records...)
	found, ok := other.Status("a")
	require.True(t, ok)
	require.Equal(t, status, found)
}

// Guards against a change that the daemon does not notice and so never applies, and
// against unchanged upstreams among the changes: a daemon has thousands of them.
func TestTakeChangesReturnsChangedAddresses(t *testing.T) {
	var i inventory.Inventory
	i.ObserveVMList(0, []inventory.VM{upstreamVM("a"), upstreamVM("b")})
	require.Equal(t, []string{"a", "b"}, i.TakeChanges())
	require.Empty(t, i.TakeChanges())
	i.ObserveStatus(1, inventory.NewStatus("b", "boot-1", false, false, nil))
	require.Equal(t, []string{"b"}, i.TakeChanges())
	i.ObserveVMList(2*clock.Second, []inventory.VM{upstreamVM("b")})
	require.Equal(t, []string{"a"}, i.TakeChanges())
	_, listed := i.VM("a")
	require.False(t, listed)
}

// Guards against records of a faulty daemon that crash this one or make it allocate
// memory without limit.
func TestMalformedRecordIsRejected(t *testing.T) {
	cases := map[string]fleet.Record{
		"not CBOR": fleet.NewRecord(inventory.KindVM, "a", 1, []byte{0xff}, clock.Hour),
		"no key":   fleet.NewRecord(inventory.KindStatus, "", 1, []byte{0xa0}, clock.Hour),
		"too many shards": fleet.NewRecord(inventory.KindStatus, "a", 1,
			[]byte{0xa1, 0x04, 0x81, 0xa2, 0x01, 0x01, 0x02, 0x1a, 0x7f, 0xff, 0xff, 0xff}, clock.Hour),
	}
	for name, record := range cases {
		t.Run(name, func(t *testing.T) {
			var i inventory.Inventory
			_, err := i.ReceiveRecord(0, record)
			require.ErrorIs(t, err, inventory.ErrMalformed)
			_, known := i.Status("a")
			require.False(t, known)
			require.Empty(t, i.VMs())
		})
	}
}
