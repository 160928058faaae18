package engine

import "time"

// workerIdleTimeout is the time after which a goroutine without work ends. It spans
// the gaps between the queries of a busy service.
const workerIdleTimeout = time.Second

// workerPool runs tasks on goroutines that are used again. An exchange needs a
// larger stack than a new goroutine has; growing it for every sub-request took
// a seventh of the processor time. It is safe for concurrent use.
type workerPool struct{ tasks chan func() }

func newWorkerPool() workerPool { return workerPool{tasks: make(chan func())} }

// start starts task on an idle goroutine or, if there is none, on a new one.
func (w workerPool) start(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.loop(task)
	}
}

func (w workerPool) loop(task func()) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdleTimeout)
		select {
		case task = <-w.tasks:
		case <-idle.C:
			return
		}
	}
}
