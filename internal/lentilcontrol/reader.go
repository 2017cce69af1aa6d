package lentilcontrol

import (
	"context"
	"io"
	"log"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

const (
	// readerCheck is how often a process asks whether it shall read the platform.
	readerCheck = 200 * time.Millisecond
	// readerRetryMax bounds the delay before the platform is tried again.
	readerRetryMax = 5 * time.Second
)

// read reads the platform whenever this process is one of its readers.
func (b *Balancer) read() {
	if b.Read == nil {
		return
	}
	backoff := lentilbudget.Backoff{Max: readerRetryMax}
	for b.context.Err() == nil {
		if !b.glance.Load().reader {
			b.pause(readerCheck)
			continue
		}
		began := time.Now()
		b.fault(b.readOnce())
		if time.Since(began) > lentilbudget.DefaultMax {
			backoff.Reset()
		}
		b.pause(backoff.Next())
	}
}

// readOnce reads until the platform fails or this process is no reader any more.
func (b *Balancer) readOnce() (err error) {
	ctx, cancel := context.WithCancel(b.context)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && b.glance.Load().reader {
			b.pause(readerCheck)
		}
	}()
	err = b.Read(ctx, b.offering())
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (b *Balancer) pause(d time.Duration) {
	select {
	case <-b.context.Done():
	case <-time.After(d):
	}
}

func (b *Balancer) offering() Offering {
	return Offering{
		Assemble: func(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
			answer, err := ask[assembleAnswer](b.mailbox, assembleMessage{head: head})
			if err != nil {
				return nil, err
			}
			return answer.assembly, answer.err
		},
		Offer: func(document lentilconfig.Document) (err error) {
			answer, err := ask[offerAnswer](b.mailbox, offerMessage{document: document})
			if err != nil {
				return err
			}
			return answer.err
		},
	}
}

// quietLog drops what net/http logs about strangers' connections, which they
// could otherwise fill the log with.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
