package poison

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// sharedParts returns the hashes of parts that no other test has.
func sharedParts(count int) []uint64 {
	parts := make([]uint64, count)
	for i := range parts {
		parts[i] = hashOf(uint64(100_000 + i))
	}
	return parts
}

// TestSuspectPartOutlastsAllDaemons guards against a part of prompts that crashes targets again
// since all daemons ended, as they do when one kind of fault meets all: while it is suspect, those
// that start refuse it from their first read of the store on, however long its prompts are.
func TestSuspectPartOutlastsAllDaemons(t *testing.T) {
	for _, c := range []struct{ daemons, parts int }{{1, 1}, {8, 1}, {1, 4000}, {8, 4000}} {
		daemons, parts := c.daemons, sharedParts(c.parts)
		synctest.Test(t, func(t *testing.T) {
			f := newRecordFleet(t, daemons)
			hosts := f.hosts()
			for i := range uint64(minCrashes + 1) {
				lost := prompt(append(slices.Clone(parts), hashOf(100+i), hashOf(bad), hashOf(200+i))...)
				f.daemons[hosts[int(i)%daemons]].detector.Lost(lost, ident.Target(fmt.Sprint("t-", i)), "")
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(time.Second)
			suspect := func() *request.Request { return prompt(hashOf(300), hashOf(bad), hashOf(301)) }
			for range 2 {
				for _, host := range hosts {
					must.Error(t, refusal(f.daemons[host].detector, suspect()), must.Sprint(host))
					must.NoError(t, refusal(f.daemons[host].detector, prompt(hashOf(100), hashOf(302))))
				}
				f.restart(hosts...)
			}
			time.Sleep(maxAge)
			must.NoError(t, refusal(f.daemons[hosts[0]].detector, suspect()))
			f.stop()
		})
	}
}
