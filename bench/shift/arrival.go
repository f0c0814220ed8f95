package shift

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// arrival is one request that a caller sends.
type arrival struct {
	at        time.Duration
	kind      *kind
	workspace int
	req       *request.Request
	// output is the number of tokens of the answer.
	output int
	// work is the request's minEngineTime in seconds; zero for a service call.
	work float64
}

// rateStep is the time for which a rate is taken as constant.
const rateStep = 100 * time.Millisecond

// generate draws a trace's requests, in order of their arrival. The same seed
// gives the same requests for every policy. Without flooding, the trace's flood is
// left out.
func generate(d *deployment, t *trace, seed uint64, flooding bool) []*arrival {
	g := &generator{deployment: d, trace: t, seed: seed, flooding: flooding}
	var all []*arrival
	for i := range d.kinds {
		for w := range d.sizes {
			all = append(all, g.drawArrivals(i, w)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *arrival) int { return int(a.at - b.at) })
	for i, a := range all {
		a.req.ID = ident.Request(strconv.Itoa(i))
	}
	return all
}

// generator draws the requests of a trace.
type generator struct {
	deployment *deployment
	trace      *trace
	seed       uint64
	flooding   bool
}

// drawArrivals draws one workspace's requests of one kind: a Poisson process whose
// rate changes every rateStep.
func (g *generator) drawArrivals(kindIndex, workspace int) []*arrival {
	random := rand.New(rand.NewPCG(g.seed, uint64(kindIndex*100+workspace+1)))
	var list []*arrival
	untilNext := random.ExpFloat64()
	for t := time.Duration(0); t < g.trace.length; t += rateStep {
		expected := g.rate(kindIndex, workspace, t) * rateStep.Seconds()
		for untilNext < expected {
			expected -= untilNext
			at := t + time.Duration(random.Float64()*float64(rateStep))
			list = append(list, g.draw(random, kindIndex, workspace, at))
			untilNext = random.ExpFloat64()
		}
		untilNext -= expected
	}
	return list
}

// rate returns how many requests of one kind a workspace sends per second at time t.
func (g *generator) rate(kindIndex, workspace int, t time.Duration) float64 {
	d, k := g.deployment, &g.deployment.kinds[kindIndex]
	share := d.sizes[workspace]
	if g.flooding && workspace == floodWorkspace && t >= g.trace.flood && t < g.trace.floodEnd {
		share *= floodFactor
	}
	if k.perSecond > 0 {
		return k.perSecond * share
	}
	mix := g.trace.mix(t)
	kindShare := d.before[kindIndex]*(1-mix) + d.after[kindIndex]*mix
	return d.load * g.trace.load(t) * float64(d.engines) * kindShare * share / k.meanMinEngineTime()
}

// draw draws one request.
func (g *generator) draw(random *rand.Rand, kindIndex, workspace int, at time.Duration) *arrival {
	d, k := g.deployment, &g.deployment.kinds[kindIndex]
	unique := vary(random, k.unique)
	a := &arrival{at: at, kind: k, workspace: workspace, output: vary(random, k.output)}
	if k.service == "" {
		a.work = minEngineTime(float64(unique), float64(a.output))
	}
	groups := max(1, int(float64(k.groups)*d.sizes[workspace]+0.5))
	group := random.IntN(groups)
	a.req = &request.Request{
		Workspace: ident.Workspace("workspace-" + strconv.Itoa(workspace)), Route: ident.Route(k.name), Class: k.class,
		Service: k.service, Idempotent: k.idempotent, Deadline: epoch.Add(at + k.deadline),
		PromptTokens: k.shared + unique, MaxOutputTokens: a.output,
		Prefix: prefixOf(k, workspace, group, unique, random.Uint64()),
	}
	if k.service == "" {
		a.req.Model = d.model
	}
	return a
}

// vary draws a number from 0.5 to 1.5 times the mean.
func vary(random *rand.Rand, mean int) int {
	if mean == 0 {
		return 0
	}
	return int(float64(mean) * (0.5 + random.Float64()))
}

// prefixOf returns the hashes of a prompt's blocks: those of the part that its
// group shares, then those of its own part.
func prefixOf(k *kind, workspace, group, unique int, own uint64) []uint64 {
	blocks := make([]uint64, 0, (k.shared+unique)/request.PrefixBlockTokens)
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(strconv.Itoa(k.shared) + "/" + strconv.Itoa(workspace) + "/" + strconv.Itoa(group)))
	shared := sum.Sum64()
	for i := range cap(blocks) {
		if i < k.shared/request.PrefixBlockTokens {
			blocks = append(blocks, shared+uint64(i)*0x9e3779b97f4a7c15)
			continue
		}
		blocks = append(blocks, own+uint64(i)*0x9e3779b97f4a7c15)
	}
	return blocks
}
