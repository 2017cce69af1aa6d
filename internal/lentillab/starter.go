package lentillab

import "runtime"

// starter starts processes from one OS thread that lives as long as the lab. Linux
// kills each process when the thread that started it ends, so no process outlives the
// lab, even if the lab's own process is killed.
type starter struct {
	requests chan startRequest
}

type startRequest struct {
	process *Process
	result  chan error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	go s.run()
	return s
}

func (s *starter) run() {
	// The thread is never unlocked, so the runtime ends it together with this goroutine.
	runtime.LockOSThread()
	for request := range s.requests {
		setProcessAttributes(request.process.command)
		err := request.process.command.Start()
		if err == nil {
			go request.process.awaitExit()
		}
		request.result <- err
	}
}

func (s *starter) start(process *Process) (err error) {
	result := make(chan error, 1)
	s.requests <- startRequest{process: process, result: result}
	return <-result
}

func (s *starter) close() { close(s.requests) }
