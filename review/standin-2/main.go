// Command standin plays the scripts of the second independent review. It starts the daemons
// with the command of the deploy file and stands for the platform, the servers and the clients.
//
//	standin CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves out the disturbance.
package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit is the longest time of a case; it ends as one that could not run.
const caseLimit = 118 * time.Second

var cases = map[string]func(*world) (broken bool, err error){
	"restart-apart":   restartApart,
	"restart-retries": restartRetries,
	"stale-entry":     staleEntry,
}

func main() {
	runtime.LockOSThread() // the daemons end with the thread that started them
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitFailed
	}
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseLimit):
		}
		rec.say("the case is cut short")
		w.close()
		os.Exit(exitFailed)
	}()
	defer w.close()
	rec.say("case %s, trouble %v", os.Args[1], w.trouble)
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.say("the rule was BROKEN")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// world is the platform with its daemons.
type world struct {
	record   *record
	trouble  bool
	root     string
	folder   string
	command  []string
	store    *store
	machines []*machine
	proxies  []*proxy // on the link of each machine to the store

	retrySlack int // 0 for that of the small sites
}

// place is a machine to start.
type place struct{ name, zone, ip string }

// smallSite is the places of the machines of the small sites: 4 in 3 zones.
var smallSite = []place{
	{"front-a-1", "a", "127.0.2.1"}, {"front-a-2", "a", "127.0.2.2"}, {"front-b-1", "b", "127.0.2.3"}, {"front-c-1", "c", "127.0.2.4"},
}

// prepare starts the store and sets the machines up.
func (w *world) prepare(places []place, tenants bool) (err error) {
	if w.root, err = os.Getwd(); err != nil {
		return err
	}
	if w.command, err = deployCommand(w.root); err != nil {
		return err
	}
	if w.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	w.store = newStore(w.record)
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.store.serve(storeListener)
	var ips []string
	for _, p := range places {
		ips = append(ips, p.ip)
	}
	found, err := freePorts(ips)
	if err != nil {
		return err
	}
	var seeds []string
	for _, p := range places[:min(3, len(places))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", p.ip, found.peers))
	}
	for _, p := range places {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		link := &proxy{target: storeListener.Addr().String()}
		go link.serve(l)
		w.proxies = append(w.proxies, link)
		w.machines = append(w.machines, &machine{
			name: p.name, zone: p.zone, ip: p.ip, ports: found, store: l.Addr().String(), seeds: seeds, tenants: tenants, folder: w.folder,
			retrySlack: cmp.Or(w.retrySlack, retrySlack),
		})
	}
	return nil
}

// start starts all daemons and waits until they are ready.
func (w *world) start() error {
	for _, m := range w.machines {
		if err := m.start(w.root, w.command); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(w.machines) {
			w.record.say("%d daemons are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d daemons are ready", ready)
		}
	}
}

func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" && w.folder != "" {
		_ = os.RemoveAll(w.folder)
	} else if w.folder != "" {
		fmt.Println("logs in", w.folder)
	}
}

// directories returns the three addresses of the directory that a client of a zone asks, nearest
// first: three of its zone at random, or fewer and then others.
func (w *world) directories(zone string) []string {
	var near, far []string
	for _, m := range w.machines {
		if m.zone == zone {
			near = append(near, m.at(m.ports.addresses))
		} else {
			far = append(far, m.at(m.ports.addresses))
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(near, far...)[:3]
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes, backends, tenants []map[string]any) {
	config := map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	text, _ := json.Marshal(config)
	w.store.put("op/config", text)
	w.record.line("the operator writes version %d of the configuration", version)
}
