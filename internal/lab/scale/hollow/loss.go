package hollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/slope"
)

// lossShare is the share of lost segments that the operators require the fleet to tolerate.
const lossShare = 0.1

var lossCondition = fmt.Sprintf("%.0f%% of segments lost", 100*lossShare)

// MeasureLoss measures the cost of a fleet at rest when segments between controllers are lost, how long a version then takes
// until it is in force at all controllers, and for how long there is no leader after the leader is killed.
func MeasureLoss(ctx context.Context, o Options) ([]slope.Row, error) {
	m := o.measurement()
	if o.Sizes == nil && !o.Quick {
		m.Sizes = []int{100, targetControllers}
	}
	if o.Sizes == nil && o.Quick {
		m.Sizes = []int{8, 16}
	}
	return m.loss(ctx)
}

func (m *measurement) loss(ctx context.Context) ([]slope.Row, error) {
	errs := make([]error, len(m.Sizes))
	var group sync.WaitGroup
	for i, size := range m.Sizes {
		group.Go(func() {
			if err := m.measureLoss(ctx, size); err != nil {
				errs[i] = fmt.Errorf("%d controllers: %w", size, err)
			}
		})
	}
	group.Wait()
	var rows []slope.Row
	for _, r := range lossRows() {
		r.row.Points, r.row.Per, r.row.Method, r.row.Target = m.points(r.figure), "controllers", "sockets", targetControllers
		if len(r.row.Points) > 0 {
			rows = append(rows, r.row)
		}
	}
	return rows, errors.Join(append(errs, m.timeouts...)...)
}

// measureLoss measures a fleet of one size.
func (m *measurement) measureLoss(ctx context.Context, size int) error {
	voters := min(m.Voters, size-2) | 1
	f, err := m.open(ctx, Spec{Controllers: size, Voters: voters, Leases: leasesAtRest, Configured: true, Loss: lossShare})
	if err != nil {
		return err
	}
	defer f.Close()
	began := time.Now()
	if err := f.Start(numberRange(0, size), size); err != nil {
		return err
	}
	if last, err := f.AwaitAllKnown(ctx, knownTimeout); err == nil {
		m.record(size, "lossy/known", milliseconds(last.Sub(began)))
	} else if !m.recordTimeout(size, err) {
		return err
	}
	if err := sleep(ctx, m.settle); err != nil {
		return err
	}
	leader, interval, err := m.measureWithOneLeader(ctx, f, voters)
	if err != nil {
		return err
	}
	m.recordUsage(size, "lossy/leader", interval.Mean(leader))
	m.recordUsage(size, "lossy/controller", interval.Mean(voters))
	m.recordUsage(size, "lossy/packed", interval.Mean(numberRange(voters+1, size)...))
	m.Logf("%d controllers, %s: controller %+.4g, leader %+.4g", size, lossCondition, interval.Mean(voters), interval.Mean(leader))
	if err := m.measurePuts(ctx, f, size); err != nil {
		return err
	}
	if leader, _, err = f.AwaitLeader(ctx, leaderTimeout, voters); err != nil {
		return err
	}
	return m.killLeader(ctx, f, size, voters, leader, "lossy/free")
}

// measurePuts records how long versions take until they are in force at all controllers.
func (m *measurement) measurePuts(ctx context.Context, f *Fleet, size int) error {
	var took []time.Duration
	for i := range m.puts {
		if err := m.timePut(ctx, f, size, 0, fmt.Appendf(nil, "# %d\n", i), &took); err != nil {
			return err
		}
	}
	m.recordPuts(size, "lossy", took)
	return nil
}

// lossRows returns the rows of measureLoss, without their points.
func lossRows() (rows []sizeRow) {
	for _, role := range []struct{ figure, name string }{{"controller", "controller"}, {"leader", "quorum leader"}} {
		figure := "lossy/" + role.figure
		rows = append(rows,
			sizeRow{figure + "/bytes", slope.Row{Role: role.name, Cost: "control: bytes sent and received", Unit: "bytes/s",
				Condition: lossCondition, Budget: budgetBytes, Note: "at rest"}},
			sizeRow{figure + "/cores", slope.Row{Role: role.name, Cost: "control: processor", Unit: "cores", Condition: lossCondition,
				Budget: budgetCores, Note: "at rest"}})
	}
	rows = append(rows,
		sizeRow{"lossy/packed/bytes", slope.Row{Role: "controller", Cost: "control: bytes sent and received, mean of many", Unit: "bytes/s",
			Condition: lossCondition, Budget: budgetBytes, Note: "at rest"}},
		sizeRow{"lossy/known", slope.Row{Role: "fleet", Cost: "membership: all know all", Unit: "ms", Condition: lossCondition,
			Note: "all start at once"}},
		sizeRow{"lossy/free", slope.Row{Role: "quorum leader", Cost: "time without a leader", Unit: "ms", Condition: lossCondition,
			Budget: budgetPrimaryChange, Note: "the leader killed; one death at each size"}})
	for _, which := range []string{"median", "longest"} {
		rows = append(rows, sizeRow{"lossy/put/" + which, slope.Row{Role: "fleet",
			Cost: "configuration: from put to in force at the last, " + which, Unit: "ms", Log: true, Budget: budgetInForce,
			Condition: lossCondition, Note: "few puts at each size"}})
	}
	return rows
}
