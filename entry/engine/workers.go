package engine

import "time"

// workerIdle is the time after which a goroutine without work ends. It spans
// the gaps between the queries of a busy service.
const workerIdle = time.Second

// workers runs tasks on goroutines that are used again. An exchange needs a
// larger stack than a new goroutine has; growing it for every sub-request took
// a seventh of the processor time. It is safe for concurrent use.
type workers struct{ tasks chan func() }

func newWorkers() workers { return workers{tasks: make(chan func())} }

// run starts task on an idle goroutine or, if there is none, on a new one.
func (w workers) run(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.work(task)
	}
}

func (w workers) work(task func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdle)
		select {
		case task = <-w.tasks:
		case <-idle.C:
			return
		}
	}
}
