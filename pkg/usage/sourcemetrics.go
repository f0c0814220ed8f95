package usage

import "github.com/prometheus/client_golang/prometheus"

// sourceMetrics are the metrics of a Source.
type sourceMetrics struct {
	records         prometheus.Counter
	seals           prometheus.Counter
	checkpointBytes prometheus.Histogram
	tailBytes       prometheus.Counter
	tailMessages    prometheus.Counter
}

// newSourceMetrics creates and registers the metrics.
func newSourceMetrics(registerer prometheus.Registerer) *sourceMetrics {
	const firstBucket, factor, buckets = 256, 4, 7
	m := &sourceMetrics{
		records: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_usage_records_total", Help: "Requests that were metered.",
		}),
		seals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_usage_sealed_total", Help: "Times that another host had sealed this daemon's figures.",
		}),
		checkpointBytes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "amaranthplank_usage_checkpoint_bytes", Help: "Size of the checkpoints.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, factor, buckets),
		}),
		tailBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_usage_tail_bytes_total", Help: "Bytes sent to the peer that keeps the tail.",
		}),
		tailMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "amaranthplank_usage_tail_messages_total", Help: "Messages sent to the peer that keeps the tail.",
		}),
	}
	registerer.MustRegister(m.records, m.seals, m.checkpointBytes, m.tailBytes, m.tailMessages)
	return m
}
