// Command standin plays the cases of the review that cannot be put as a day of the
// users' bench. It starts the daemons of the deploy file as processes on loopback
// addresses; the store, the replicas and the clients are stand-ins within this process.
//
// # Usage
//
//	standin CASE ROOT RECORD
//
// CASE is the name of a case, ROOT the root of the repository and RECORD the path of the
// record. With TROUBLE=0 in the environment the disruption does not happen. The exit
// code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// cases are the cases by name. They return whether the rule was broken.
var cases = map[string]func(*lab) (bool, error){
	"crashing-request": crashingRequest,
	"innocent-request": innocentRequest,
	"foreign-entries":  foreignEntries,
	"stray-entry":      strayEntry,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	record, err := newRecorder(recordPath)
	if err != nil {
		return fail(err)
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, with the disruption: %t", name, trouble)
	l, err := newLab(root, dir, record, trouble)
	if err != nil {
		return fail(err)
	}
	// A case that hangs could not run. Its processes end with this one.
	time.AfterFunc(limit, func() {
		record.add("could not run: the case takes longer than %v", limit)
		record.close()
		os.Exit(exitFailed)
	})
	broken, err := cases[name](l)
	l.close()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		l.keepLogs(keep)
	}
	if err != nil {
		record.add("could not run: %v", err)
		return fail(err)
	}
	if broken {
		record.add("result: the rule was broken")
		return exitBroken
	}
	record.add("result: the rule held")
	return exitHeld
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return exitFailed
}
