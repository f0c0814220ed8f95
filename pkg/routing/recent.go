package routing

import "time"

// recent remembers the prompt blocks that an engine was sent a short while ago,
// for engines that do not tell what they hold. The engine may have dropped some
// since, and holds those of other daemons besides.
type recent struct {
	at map[uint64]time.Time
	// sweptAt is when old blocks were last dropped.
	sweptAt time.Time
}

// add notes blocks that the engine is sent.
func (r *recent) add(blocks []uint64, now time.Time, keep time.Duration) {
	if keep <= 0 {
		return
	}
	if r.at == nil {
		r.at = make(map[uint64]time.Time)
	}
	if now.Sub(r.sweptAt) > keep {
		r.sweep(now, keep)
	}
	for _, block := range blocks {
		r.at[block] = now
	}
}

// sweep drops the blocks that are too old.
func (r *recent) sweep(now time.Time, keep time.Duration) {
	r.sweptAt = now
	for block, at := range r.at {
		if now.Sub(at) > keep {
			delete(r.at, block)
		}
	}
}

// depth returns how many leading blocks of a prompt the engine was sent lately.
func (r *recent) depth(blocks []uint64, now time.Time, keep time.Duration) int {
	if len(r.at) == 0 {
		return 0
	}
	for n := len(blocks); n > 0; n-- {
		if at, ok := r.at[blocks[n-1]]; ok && now.Sub(at) <= keep {
			return n
		}
	}
	return 0
}
