package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"amaranthplank.example/amaranthplank/pkg/bytebudget"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// bodyMemory bounds the bytes of the bodies that requests hold until they end.
type bodyMemory struct {
	*bytebudget.Budget

	refused prometheus.Counter
}

// newBodyMemory returns a memory that holds nothing. The metrics are registered unless registerer
// is nil.
func newBodyMemory(most int64, registerer prometheus.Registerer) *bodyMemory {
	m := &bodyMemory{Budget: bytebudget.New(most)}
	factory := promauto.With(registerer)
	m.refused = factory.NewCounter(prometheus.CounterOpts{
		Name: "amaranthplank_requests_beyond_memory_total", Help: "Requests refused since the bodies of others take the memory.",
	})
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "amaranthplank_body_bytes", Help: "Bytes of the request bodies that are held at present.",
	}, func() float64 { return float64(m.Held()) })
	return m
}

// take counts the bytes of a body. It fails if they exceed the bound.
func (m *bodyMemory) take(bytes int64) error {
	if !m.Take(bytes) {
		m.refused.Inc()
		return errBodyMemory
	}
	return nil
}

// bodyMemoryRetryAfter is the Retry-After of requests that are refused for their body's memory.
const bodyMemoryRetryAfter = 250 * time.Millisecond

// errBodyMemory refuses a request whose body would exceed the memory for bodies.
var errBodyMemory = fault.New(fault.Unavailable, "the bodies of other requests take the daemon's memory",
	"send the request again after the time in Retry-After, or a smaller body").WithRetryAfter(bodyMemoryRetryAfter)
