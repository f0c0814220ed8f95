package targets_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/targets"
)

func TestOrderedTargetsArriveAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		orderer := targets.New()
		orderer.SetArrivals(targets.Arrivals{Delay: time.Minute, Make: func(order external.TargetOrder, n int) external.TargetRecord {
			return external.TargetRecord{Target: ident.Target(fmt.Sprint(n)), FailureDomain: order.FailureDomain, Model: order.Model, Kind: order.Kind}
		}})
		count := func() int {
			records, err := orderer.Targets(ctx)
			must.NoError(t, err)
			return len(records)
		}
		order := external.TargetOrder{OrderID: "a", FailureDomain: "d", Model: "m", Kind: external.Reclaimable, DesiredCount: 2, Fencing: 5}
		must.NoError(t, orderer.Order(ctx, order))
		must.NoError(t, orderer.Order(ctx, order))
		must.Eq(t, 0, count())
		time.Sleep(time.Minute)
		must.Eq(t, 2, count())
		orderer.Reclaim("d", 5*time.Second)
		must.Eq(t, 2, count())
		time.Sleep(5 * time.Second)
		must.Eq(t, 0, count())
		orderer.SetUnavailable("d", true)
		must.NoError(t, orderer.Order(ctx, order))
		time.Sleep(time.Hour)
		must.Eq(t, 0, count())
		orderer.SetUnavailable("d", false)
		must.Eq(t, 2, count())
		old := external.TargetOrder{OrderID: "b", FailureDomain: "e", Fencing: 4}
		must.Eq(t, fault.Fenced, fault.KindOf(orderer.Order(ctx, old)))
	})
}
