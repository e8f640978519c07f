package main

import (
	"fmt"
	"slices"
	"time"
)

// distribution formats the median, the 90th and 99th percentiles and the maximum of values, which
// it sorts in place.
func distribution(values []float64) string {
	if len(values) == 0 {
		return "none"
	}
	slices.Sort(values)
	quantile := func(q float64) float64 {
		return values[min(len(values)-1, int(q*float64(len(values))))]
	}
	return fmt.Sprintf("median %.0f, 90th %.0f, 99th %.0f, most %.0f of %d",
		quantile(0.5), quantile(0.9), quantile(0.99), quantile(1), len(values))
}

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 {
	return float64(d) / 1e6
}
