package lentillab

import "runtime"

// starter starts processes from one thread that lives as long as the lab. On Linux
// the system ends a process when the thread that started it ends, so that none
// outlives the lab, whatever happens to it.
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
	// The thread is not unlocked, so that it ends together with this goroutine.
	runtime.LockOSThread()
	for request := range s.requests {
		bindToThread(request.process.command)
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
