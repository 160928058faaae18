package engine

import "time"

// workerIdleTimeout is the time after which a worker without a task ends. It is
// longer than the gaps between the queries of a busy service.
const workerIdleTimeout = time.Second

// workerPool runs tasks on goroutines that it reuses. An exchange needs a larger
// stack than a new goroutine has, and growing the stack for every attempt took a
// seventh of the processor time. It is safe for concurrent use.
type workerPool struct{ tasks chan func() }

func newWorkerPool() workerPool { return workerPool{tasks: make(chan func())} }

// start runs task on an idle worker or, if there is none, on a new one. It does not
// wait for the task.
func (w workerPool) start(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.loop(task)
	}
}

// loop runs task and then further tasks, until none arrives within
// workerIdleTimeout.
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
