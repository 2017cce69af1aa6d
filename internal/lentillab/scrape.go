package lentillab

import (
	"strconv"
	"strings"
)

// SumMetric adds up the values of a metric in a scrape, over all its labels.
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
