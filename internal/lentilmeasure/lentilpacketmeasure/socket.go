package lentilpacketmeasure

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// bufferBytes is the size of the sockets' receive buffers.
	bufferBytes = 4 << 20
	// ticksPerSecond is the resolution of processor times in /proc.
	ticksPerSecond = 100
	// userTimeField is the index of the user time in /proc/PID/stat, counted after the process
	// name. The system time is the next field.
	userTimeField = 11
	// rusageThread selects the usage of the calling thread (RUSAGE_THREAD).
	rusageThread = 1
)

// sink receives and counts datagrams.
type sink struct {
	conn     *net.UDPConn
	received atomic.Uint64
	reader   sync.WaitGroup
}

func listenLoopback() (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(bufferBytes)
}

func newSink() (s *sink, err error) {
	s = &sink{}
	if s.conn, err = listenLoopback(); err != nil {
		return nil, err
	}
	s.reader.Go(func() {
		buffer := make([]byte, 1<<16)
		for {
			if _, _, err := s.conn.ReadFromUDPAddrPort(buffer); err != nil {
				return
			}
			s.received.Add(1)
		}
	})
	return s, nil
}

func (s *sink) address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *sink) count() uint64 { return s.received.Load() }

func (s *sink) close() {
	_ = s.conn.Close()
	s.reader.Wait()
}

// send sends the packet repeatedly for a duration, from several sockets. Then it waits for
// the last packets to reach the sink.
func send(ctx context.Context, packet []byte, to netip.AddrPort, duration time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var group sync.WaitGroup
	for range senders {
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
		if err != nil {
			return err
		}
		group.Go(func() {
			defer func() { _ = conn.Close() }()
			for ctx.Err() == nil {
				_, _ = conn.Write(packet)
			}
		})
	}
	group.Wait()
	time.Sleep(settleDelay)
	return nil
}

// forwardDatagrams forwards datagrams until the socket is closed. It returns the processor
// time of its thread.
func forwardDatagrams(in *net.UDPConn, to netip.AddrPort) (spent time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	buffer := make([]byte, 1<<16)
	start := threadProcessorTime()
	for {
		length, _, err := in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return threadProcessorTime() - start
		}
		_, _ = in.WriteToUDPAddrPort(buffer[:length], to)
	}
}

// threadProcessorTime returns the processor time of the calling thread.
func threadProcessorTime() (spent time.Duration) {
	var usage syscall.Rusage
	if syscall.Getrusage(rusageThread, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (spent time.Duration, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= userTimeField+1 {
		return 0, errorx.IllegalFormat.New("/proc/%d/stat", pid)
	}
	for _, field := range fields[userTimeField : userTimeField+2] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		spent += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	return spent, nil
}
