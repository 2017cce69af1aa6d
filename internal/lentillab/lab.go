// Package lentillab runs a complete site on one machine, for tests, the demo and the
// measurements. Platform, fabric, upstream copies, agents, balancers and callers are
// separate processes. Each VM of the site is represented by its own IP address on the
// loopback network.
//
// A lab cleans up after itself: Close kills the processes that still run and removes
// the lab's files. If the process that holds the lab dies first, Linux kills the
// lab's processes.
package lentillab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"github.com/joomcode/errorx"
)

const (
	// firstBlock and lastBlock bound the second byte of a lab's loopback addresses.
	firstBlock = 64
	lastBlock  = 127
	// lockPort is the UDP port that each lab binds within its address block. It
	// keeps two labs from using the same block.
	lockPort = 16393
)

// Lab owns a temporary directory, a block of loopback addresses and the processes
// that use them.
type Lab struct {
	binaries     string
	directory    string
	addressBlock byte
	blockLock    *net.UDPConn
	starter      *starter

	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// New returns a lab that runs the programs lentilstair and lentilstand from the
// directory binaries. The caller must close the lab.
func New(binaries string) (lab *Lab, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "create lab")
		}
	}()
	lab = &Lab{binaries: binaries}
	if lab.blockLock, lab.addressBlock, err = claimBlock(); err != nil {
		return nil, err
	}
	if lab.directory, err = os.MkdirTemp("", "lentillab-"); err != nil {
		_ = lab.blockLock.Close()
		return nil, err
	}
	lab.starter = newStarter()
	return lab, nil
}

// claimBlock reserves a block of addresses that no other lab uses. The block stays
// reserved until the lock is closed. The search starts at a random block.
func claimBlock() (lock *net.UDPConn, block byte, err error) {
	const blocks = lastBlock - firstBlock + 1
	start := rand.IntN(blocks)
	for i := range blocks {
		block = byte(firstBlock + (start+i)%blocks)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, block, 255, 1}), lockPort)
		if lock, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err == nil {
			return lock, block, nil
		}
	}
	return nil, 0, err
}

// IP returns the loopback address of the VM with the given number among the VMs of
// its kind.
func (l *Lab) IP(kind, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.addressBlock, kind, number})
}

// Path returns the path of a file in the lab's directory.
func (l *Lab) Path(name string) string { return filepath.Join(l.directory, name) }

// WriteFile creates a file in the lab's directory and returns its path.
func (l *Lab) WriteFile(name string, content []byte) (path string, err error) {
	path = l.Path(name)
	return path, os.WriteFile(path, content, 0o600)
}

// StartLentilstair starts the program lentilstair with the given arguments.
func (l *Lab) StartLentilstair(name string, args ...string) (process *Process, err error) {
	return l.startProcess(name, "lentilstair", args)
}

// StartLentilstand starts the program lentilstand with the given arguments.
func (l *Lab) StartLentilstand(name string, args ...string) (process *Process, err error) {
	return l.startProcess(name, "lentilstand", args)
}

func (l *Lab) startProcess(name, program string, args []string) (process *Process, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start %s", name)
		}
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errorx.IllegalState.New("the lab is closed")
	}
	process = newProcess(name, filepath.Join(l.binaries, program), args)
	if err = l.starter.start(process); err != nil {
		return nil, err
	}
	l.processes = append(l.processes, process)
	return process, nil
}

// Processes returns every process that was started, in start order.
func (l *Lab) Processes() []*Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Process(nil), l.processes...)
}

// Failures describes each process that exited with an error and was not killed by
// the lab.
func (l *Lab) Failures() (descriptions []string) {
	for _, p := range l.Processes() {
		if err := p.Failure(); err != nil {
			descriptions = append(descriptions, fmt.Sprintf("%s: %v: %s", p.Name(), err, p.LastStderr()))
		}
	}
	return descriptions
}

// Close kills the processes that still run and removes the lab's directory.
func (l *Lab) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for _, p := range l.processes {
		p.Kill()
	}
	for _, p := range l.processes {
		<-p.Done()
	}
	l.starter.close()
	_ = l.blockLock.Close()
	_ = os.RemoveAll(l.directory)
}
