// Package matrix contains the fault matrix of the core: tests that inject each
// fault at each step of a query, of a settings change and of a planned stop.
//
// The package has only tests. They run the real state machines of several
// daemons in one process as a discrete-event simulation, with a manual clock, a
// seeded random source, and small fakes of upstreams, callers, links and the
// platform. Every run is checked against the invariants I1 to I10 of
// docs/design.md. The checks use only what callers sent and received, what
// upstreams logged, and what the platform accepted.
//
// # Usage
//
//	go test ./core/matrix -run TestMatrix -v                      // prints the table
//	go test ./core/matrix -run TestMatrix -update                 // rewrites docs/FAULTS.md
//	go test ./core/matrix -run TestMatrix -offset 1000000         // runs with other seeds
//	go test ./core/matrix -run 'TestMatrix/cells/NAME$' -steps -v // traces a cell
//
// A cell that fails because of a defect in the core is listed in KNOWN-RED.txt as
// "core/matrix cell: NAME". Its failure is then logged, and the test fails if the
// cell passes.
package matrix
