package lentilpacketmeasure

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
)

const (
	// requestInterval is the time between two requests. It is long enough for a cold copy.
	requestInterval = 50 * time.Millisecond
	// callerRate is the rate of the callers, in requests per second. It matches
	// requestInterval.
	callerRate = 20
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 5 * time.Second
)

// measureAddedLatency measures the median latency of requests through the whole path, by
// HTTP/3. The baseline is a plain request to the copy.
func measureAddedLatency(ctx context.Context, site *lentillab.RunningSite, duration time.Duration) (figures []lentilfigure.Figure, err error) {
	direct, err := measureDirectLatency(ctx, site, duration)
	if err != nil {
		return nil, err
	}
	workload := lentillab.Workload{Connections: 1, RepeatableRate: callerRate, Timeout: callerTimeout, Seed: 1}
	callers, err := site.StartCallers("added", site.Site().Services[0], duration, workload)
	if err != nil {
		return nil, err
	}
	report, err := callers.Report(ctx)
	if err != nil {
		return nil, err
	}
	return []lentilfigure.Figure{
		lentilfigure.New("packets.answerMillis", report.Repeatable.MillisP50, "ms").WithBaseline("request to the copy itself", direct),
	}, nil
}

// measureDirectLatency returns the median latency of requests to the copy, in milliseconds.
func measureDirectLatency(ctx context.Context, site *lentillab.RunningSite, duration time.Duration) (median float64, err error) {
	var latencies []float64
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(requestInterval) {
		start := time.Now()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, site.Copies()[0].UpstreamURL()+"/work?id=direct", nil)
		if err != nil {
			return 0, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, err
		}
		latencies = append(latencies, float64(time.Since(start).Microseconds())/1000)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], nil
}
