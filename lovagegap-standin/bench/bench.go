// Package bench compares the routing, hedging, retry and admission decisions of the
// core with baselines in a discrete-event simulation.
//
// A simulation runs several entry daemons with the state machines of the core on a
// manual clock. The daemons share simulated upstreams that have slots, a queue, a
// connection set-up time and a cold start. The random sources have fixed seeds, so a
// run is deterministic.
//
// # Usage
//
//	report := bench.Run()
//	report.Print(os.Stdout)
//	err := report.Draw("docs/pictures")
package bench
