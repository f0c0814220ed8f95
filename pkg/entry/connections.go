package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// connections closes callers' connections that have been idle for as long as the configuration
// allows.
type connections struct {
	config config.Source
	open   prometheus.Gauge
	closed *prometheus.CounterVec

	mu sync.Mutex
	// count is the number of connections. idle holds the idle ones, the longest idle first,
	// and places their places in it.
	count  int
	idle   *list.List
	places map[net.Conn]*list.Element
}

// idleConnection is a connection without a request.
type idleConnection struct {
	conn  net.Conn
	since time.Time
	// timer closes the connection, or is nil if the configuration sets no limit.
	timer *time.Timer
}

// newConnections returns connections of which there are none yet. The metrics are registered
// unless registerer is nil.
func newConnections(source config.Source, registerer prometheus.Registerer) *connections {
	factory := promauto.With(registerer)
	return &connections{
		config: source, idle: list.New(), places: make(map[net.Conn]*list.Element),
		open: factory.NewGauge(prometheus.GaugeOpts{Name: "amaranthplank_caller_connections", Help: "Connections of callers at present."}),
		closed: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "amaranthplank_caller_connections_closed_total", Help: "Idle connections of callers that were closed, by reason.",
		}, []string{"reason"}),
	}
}

// Reasons for which an idle connection is closed.
const (
	closedIdle = "idle timeout"
)

// changed records a connection's state. It is the ConnState of a server.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.count++
	case http.StateIdle:
		c.addIdle(conn)
	case http.StateActive:
		c.removeIdle(conn)
	case http.StateClosed, http.StateHijacked:
		c.removeIdle(conn)
		c.count--
	}
	c.open.Set(float64(c.count))
}

// addIdle records that a connection has no request from now on. c.mu must be held.
func (c *connections) addIdle(conn net.Conn) {
	c.removeIdle(conn)
	entry := &idleConnection{conn: conn, since: time.Now()}
	c.places[conn] = c.idle.PushBack(entry)
	if limit := c.idleLimit(); limit > 0 {
		entry.timer = time.AfterFunc(limit, func() { c.expire(entry) })
	}
}

// idleLimit returns how long a connection may be idle by the configuration, or zero.
func (c *connections) idleLimit() time.Duration {
	if c.config == nil {
		return 0
	}
	snapshot := c.config.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Document.Limits.IdleTimeout.D()
}

// expire closes a connection that is still idle, unless the limit was lengthened since.
func (c *connections) expire(entry *idleConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place := c.places[entry.conn]
	if place == nil || place.Value != entry {
		return
	}
	if left := c.idleLimit() - time.Since(entry.since); left > 0 {
		entry.timer.Reset(left)
		return
	}
	c.close(entry, closedIdle)
}

// close closes an idle connection. c.mu must be held.
func (c *connections) close(entry *idleConnection, reason string) {
	c.removeIdle(entry.conn)
	c.closed.WithLabelValues(reason).Inc()
	_ = entry.conn.Close()
}

// removeIdle records that a connection is no longer idle. c.mu must be held.
func (c *connections) removeIdle(conn net.Conn) {
	place := c.places[conn]
	if place == nil {
		return
	}
	if entry, _ := place.Value.(*idleConnection); entry.timer != nil {
		entry.timer.Stop()
	}
	c.idle.Remove(place)
	delete(c.places, conn)
}
