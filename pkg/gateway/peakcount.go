package gateway

import (
	"sync"
	"time"
)

// peakCount holds the greatest of the counts that were seen within a period.
type peakCount struct {
	period time.Duration

	mu sync.Mutex
	// last is the count that was seen last.
	last int
	// earlier are greater counts that were seen within the period, from the greatest
	// and oldest to the least and newest.
	earlier []earlierCount
}

// earlierCount is a count, and when it was seen to be replaced by a smaller one.
type earlierCount struct {
	count      int
	replacedAt time.Time
}

// observe records the count at a time and returns the greatest count within the period
// before it.
func (p *peakCount) observe(count int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count < p.last {
		p.earlier = append(p.earlier, earlierCount{count: p.last, replacedAt: now})
	}
	p.last = count
	for len(p.earlier) > 0 && p.earlier[len(p.earlier)-1].count <= count {
		p.earlier = p.earlier[:len(p.earlier)-1]
	}
	for len(p.earlier) > 0 && now.Sub(p.earlier[0].replacedAt) > p.period {
		p.earlier = p.earlier[1:]
	}
	if len(p.earlier) > 0 {
		return p.earlier[0].count
	}
	return count
}
