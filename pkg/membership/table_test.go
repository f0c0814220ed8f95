package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// convergenceTime is enough for every view to be right after the last fault.
const convergenceTime = 40 * time.Second

func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(8, rapid.Uint64().Draw(t, "seed"))
		c.loss, c.duplication = 0.05, 0.05
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			i := rapid.IntRange(0, 7).Draw(t, "node")
			j := rapid.IntRange(0, 7).Draw(t, "other")
			a, b := c.nodes[i].host, c.nodes[j].host
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				c.blocked[[2]ident.Host{a, b}] = true
			case 1:
				c.blocked[[2]ident.Host{a, b}], c.blocked[[2]ident.Host{b, a}] = true, true
			case 2:
				c.restart(i, c.nodes[i].table.Self().Incarnation+10)
			case 3:
				c.nodes[i].paused = true
			case 4:
				c.partition(i%7 + 1)
			}
			must.NoError(t, c.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second))
		}
		c.heal()
		must.NoError(t, c.run(convergenceTime))
		must.NoError(t, c.checkConverged())
	})
}

// partition cuts the first k nodes off from the others.
func (c *cluster) partition(k int) {
	for i, a := range c.nodes {
		for j, b := range c.nodes {
			if (i < k) != (j < k) {
				c.blocked[[2]ident.Host{a.host, b.host}] = true
			}
		}
	}
}

func (c *cluster) heal() {
	clear(c.blocked)
	for _, n := range c.nodes {
		n.paused = false
	}
}

func TestCheckDetectsResurrection(t *testing.T) {
	c := newCluster(3, 1)
	must.NoError(t, c.run(5*time.Second))
	c.nodes[2].paused = true
	must.NoError(t, c.run(30*time.Second))
	e := c.nodes[0].table.members["h02"]
	must.Eq(t, Dead, e.status)
	e.record.Ended, e.lastSeenAt = false, c.now
	must.Error(t, c.run(2*testTick))
}

func TestMemberSilentOnOneLinkIsConfirmedByOthers(t *testing.T) {
	c := newCluster(8, 1)
	must.NoError(t, c.run(5*time.Second))
	c.blocked[[2]ident.Host{"h01", "h00"}] = true
	must.NoError(t, c.run(time.Minute))
	_, ended := c.nodes[0].table.members["h01"], c.nodes[0].ended[Ask{"h01", 1}]
	must.False(t, ended)
	for _, n := range c.nodes[1:] {
		n.table.timing.SuspectAfter = -1 // No member answers queries anymore.
	}
	must.NoError(t, c.run(time.Minute))
	must.True(t, c.nodes[0].ended[Ask{"h01", 1}])
}

func TestLeaveSpreadsWithinThreeTicks(t *testing.T) {
	c := newCluster(8, 1)
	must.NoError(t, c.run(5*time.Second))
	c.nodes[3].table.Leave()
	must.NoError(t, c.run(3*testTick))
	for _, n := range c.nodes[:3] {
		must.Eq(t, Left, n.table.members["h03"].status)
	}
	c.restart(3, 2)
	must.NoError(t, c.run(convergenceTime))
	must.NoError(t, c.checkConverged())
}

func TestNeighborsAreMutualAndBounded(t *testing.T) {
	for _, n := range []int{2, 8, 9, 64, 330} {
		hosts := make([]ident.Host, n)
		for i := range hosts {
			hosts[i] = ident.Host(fmt.Sprintf("host-%d", i))
		}
		chosen := make(map[[2]ident.Host]bool)
		for _, a := range hosts {
			neighbors := Neighbors(a, hosts, DefaultDegree)
			must.LessEq(t, DefaultDegree, len(neighbors))
			for _, b := range neighbors {
				chosen[[2]ident.Host{a, b}] = true
			}
		}
		for pair := range chosen {
			must.True(t, chosen[[2]ident.Host{pair[1], pair[0]}])
		}
		reached := map[ident.Host]bool{hosts[0]: true}
		for queue := hosts[:1:1]; len(queue) > 0; queue = queue[1:] {
			for _, next := range Neighbors(queue[0], hosts, DefaultDegree) {
				if !reached[next] {
					reached[next] = true
					queue = append(queue, next)
				}
			}
		}
		must.MapLen(t, n, reached)
	}
}
