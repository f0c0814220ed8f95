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
	// output is the tokens that the answer will have.
	output int
	// work is the engine time that it takes at the least, in seconds.
	work float64
}

// arrivalStep is the time that a rate is held for.
const arrivalStep = 100 * time.Millisecond

// generate draws a trace's requests. The same seed gives the same requests
// whatever the policy.
func generate(d *deployment, t *trace, seed uint64, flooding bool) []*arrival {
	g := &generator{deployment: d, trace: t, seed: seed, flooding: flooding}
	var all []*arrival
	for i := range d.kinds {
		for w := range d.sizes {
			all = append(all, g.stream(i, w)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *arrival) int { return int(a.at - b.at) })
	for i, a := range all {
		a.req.ID = ident.Request(strconv.Itoa(i))
	}
	return all
}

// generator draws requests.
type generator struct {
	deployment *deployment
	trace      *trace
	seed       uint64
	flooding   bool
}

// stream draws one workspace's requests of one kind.
func (g *generator) stream(kindIndex, workspace int) []*arrival {
	random := rand.New(rand.NewPCG(g.seed, uint64(kindIndex*100+workspace+1)))
	var list []*arrival
	credit := random.ExpFloat64()
	for t := time.Duration(0); t < g.trace.length; t += arrivalStep {
		expected := g.rate(kindIndex, workspace, t) * arrivalStep.Seconds()
		for credit < expected {
			expected -= credit
			at := t + time.Duration(random.Float64()*float64(arrivalStep))
			list = append(list, g.draw(random, kindIndex, workspace, at))
			credit = random.ExpFloat64()
		}
		credit -= expected
	}
	return list
}

// rate is one workspace's requests of one kind a second.
func (g *generator) rate(kindIndex, workspace int, t time.Duration) float64 {
	d, k := g.deployment, &g.deployment.kinds[kindIndex]
	part := d.sizes[workspace]
	if g.flooding && workspace == floodWorkspace && t >= g.trace.flood && t < g.trace.floodEnd {
		part *= floodFactor
	}
	if k.perSecond > 0 {
		return k.perSecond * part
	}
	mix := g.trace.mix(t)
	share := d.before[kindIndex]*(1-mix) + d.after[kindIndex]*mix
	return d.load * g.trace.load(t) * float64(d.engines) * share * part / k.cost()
}

// draw makes one request.
func (g *generator) draw(random *rand.Rand, kindIndex, workspace int, at time.Duration) *arrival {
	d, k := g.deployment, &g.deployment.kinds[kindIndex]
	unique := vary(random, k.unique)
	a := &arrival{at: at, kind: k, workspace: workspace, output: vary(random, k.output)}
	if k.service == "" {
		a.work = bestCost(float64(unique), float64(a.output))
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

// vary draws a number that is up to half more or less than mean.
func vary(random *rand.Rand, mean int) int {
	if mean == 0 {
		return 0
	}
	return int(float64(mean) * (0.5 + random.Float64()))
}

// prefixOf returns the hashes of a prompt's blocks: those of its group's
// shared part, then its own.
func prefixOf(k *kind, workspace, group, unique int, own uint64) []uint64 {
	blocks := make([]uint64, 0, (k.shared+unique)/request.PrefixBlockTokens)
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(strconv.Itoa(k.shared) + "/" + strconv.Itoa(workspace) + "/" + strconv.Itoa(group)))
	common := sum.Sum64()
	for i := range cap(blocks) {
		if i < k.shared/request.PrefixBlockTokens {
			blocks = append(blocks, common+uint64(i)*0x9e3779b97f4a7c15)
			continue
		}
		blocks = append(blocks, own+uint64(i)*0x9e3779b97f4a7c15)
	}
	return blocks
}
