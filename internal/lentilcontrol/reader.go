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
	// readerCheckInterval is how often a process checks whether it is chosen to read the platform.
	readerCheckInterval = 200 * time.Millisecond
	// maxReaderRetryDelay is the maximum delay before reading the platform is retried.
	maxReaderRetryDelay = 5 * time.Second
)

// runReader reads the platform while this process is chosen as a reader, and retries with
// backoff after a failure.
func (b *Balancer) runReader() {
	if b.ReadPlatform == nil {
		return
	}
	backoff := lentilbudget.Backoff{Max: maxReaderRetryDelay}
	for b.context.Err() == nil {
		if !b.snapshot.Load().reader {
			b.sleep(readerCheckInterval)
			continue
		}
		startedAt := time.Now()
		b.reportError(b.readWhileReader())
		if time.Since(startedAt) > lentilbudget.DefaultMax {
			backoff.Reset()
		}
		b.sleep(backoff.Next())
	}
}

// readWhileReader reads the platform until it fails or this process is no longer a reader.
func (b *Balancer) readWhileReader() (err error) {
	ctx, cancel := context.WithCancel(b.context)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && b.snapshot.Load().reader {
			b.sleep(readerCheckInterval)
		}
	}()
	err = b.ReadPlatform(ctx, b.configurationSink())
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (b *Balancer) sleep(d time.Duration) {
	select {
	case <-b.context.Done():
	case <-time.After(d):
	}
}

func (b *Balancer) configurationSink() ConfigurationSink {
	return ConfigurationSink{
		Assemble: func(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
			answer, err := ask[assembleResult](b.mailbox, assembleMessage{head: head})
			if err != nil {
				return nil, err
			}
			return answer.assembly, answer.err
		},
		Offer: func(document lentilconfig.Document) (err error) {
			answer, err := ask[offerResult](b.mailbox, offerMessage{document: document})
			if err != nil {
				return err
			}
			return answer.err
		},
	}
}

// discardLogger drops the messages of net/http about connections. Otherwise any client
// could fill the log.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
