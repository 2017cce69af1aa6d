package lentillab

import (
	"strconv"
	"strings"
)

// SumMetric returns the sum of a metric's values in a Prometheus scrape, over all
// combinations of labels. A sample without labels is ignored.
func SumMetric(scrape, name string) (total uint64) {
	for line := range strings.Lines(scrape) {
		if fields := strings.Fields(line); len(fields) == 2 && strings.HasPrefix(line, name+"{") {
			if value, err := strconv.ParseFloat(fields[1], 64); err == nil {
				total += uint64(value)
			}
		}
	}
	return total
}
