package daemon

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// TestMeasureControl prints the memory and the time that a daemon needs for its view of
// upstreams and members. LOVAGEGAP_MEASURE holds the numbers of daemons, separated by
// commas; the number of upstreams keeps the ratio of the design size, 11,000 upstreams
// for 2,100 daemons. The test checks nothing: docs/CAPACITY.md takes its slopes from the
// output.
func TestMeasureControl(t *testing.T) {
	sizes := os.Getenv("LOVAGEGAP_MEASURE")
	if sizes == "" {
		t.Skip("LOVAGEGAP_MEASURE is not set")
	}
	fmt.Println("daemons | upstreams | heap MB | learn all ms | apply all ms | member change ms | unchanged apply+publish us | one upstream changed ms")
	for _, text := range strings.Split(sizes, ",") {
		daemons, err := strconv.Atoi(text)
		require.NoError(t, err)
		measureControl(daemons, daemons*11000/2100)
	}
}

func measureControl(daemons, upstreams int) {
	const shards = 270
	before := heapBytes()
	d := newDaemon(Configuration{
		name: "d", dataCentre: "dc-0", region: "r-0", callerAddress: "10.0.0.0:80", operatorAddress: "10.0.0.0:81",
		peerAddress: "10.0.0.0:7200", platformURL: "http://127.0.0.1:1", peerKeys: [][]byte{[]byte("0123456789abcdef")},
	}, logr.Discard())
	defer d.close([]*http.Server{{}})
	s := d.services
	list, statuses := syntheticFleet(daemons, upstreams, shards)
	members := make([]fleet.Member, daemons)
	for n := range members {
		region := fmt.Sprintf("r-%d", n%8)
		id := fleet.ID(fmt.Sprintf("10.%d.%d.0:7200", n/250, n%250))
		members[n] = fleet.NewMember(id, "", region, region, 1).WithState(fleet.Alive)
	}
	s.MembersChanged(members)
	learn := elapsed(func() {
		s.observeVMList(s.daemon.clock.Now(), list)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, status := range statuses {
			s.inventory.ObserveStatus(0, status)
		}
	})
	apply := elapsed(func() { s.applyInventory() })
	change := elapsed(func() { s.MembersChanged(members[1:]) })
	const rounds = 50
	idle := elapsed(func() {
		for range rounds {
			s.applyInventory()
			s.publishRecords()
		}
	})
	one := elapsed(func() {
		s.observeVMList(s.daemon.clock.Now(), append(list[:len(list)-1:len(list)-1], list[len(list)-1].AsLeaving()))
		s.applyInventory()
	})
	used := heapBytes() - before
	fmt.Printf("%d | %d | %.1f | %.1f | %.1f | %.1f | %.0f | %.1f\n", daemons, upstreams, float64(used)/(1<<20),
		inMillis(learn), inMillis(apply), inMillis(change), inMillis(idle)*1000/rounds, inMillis(one))
	runtime.KeepAlive(d)
}

// syntheticFleet returns the VMs of a fleet and the status of its upstreams, with three
// replicas for each shard.
func syntheticFleet(daemons, upstreams, shards int) ([]inventory.VM, []inventory.Status) {
	var list []inventory.VM
	var statuses []inventory.Status
	for n := range daemons {
		region := fmt.Sprintf("r-%d", n%8)
		list = append(list, inventory.NewEntryVM(fmt.Sprintf("10.%d.%d.0:80", n/250, n%250),
			fmt.Sprintf("10.%d.%d.0:7200", n/250, n%250), region, region))
	}
	for n := range upstreams {
		region := fmt.Sprintf("r-%d", n%8)
		address := fmt.Sprintf("11.%d.%d.0:80", n/250, n%250)
		service := fmt.Sprintf("u/s-%d", n/(3*shards))
		list = append(list, inventory.NewUpstreamVM(address, service, region, region))
		holdings := []snapshot.Holding{snapshot.NewHolding(7, shards, []snapshot.Shard{snapshot.Shard(n % shards)})}
		statuses = append(statuses, inventory.NewStatus(address, fmt.Sprintf("boot-%d", n), false, false, holdings))
	}
	return list, statuses
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func elapsed(f func()) time.Duration {
	began := time.Now()
	f()
	return time.Since(began)
}

func inMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
