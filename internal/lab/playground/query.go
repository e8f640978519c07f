package playground

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/standin"
)

// Classes returns the names of the query classes of a playground's deployment.
func Classes() []string {
	return []string{daemon.LookupClass, daemon.LoadClass, daemon.WriteClass, daemon.ReportClass}
}

// Statement describes a query for an emulated engine, which reads only the duration of the work and the tables.
type Statement struct {
	Class  string
	Work   time.Duration // on one core
	Tables string        // such as "sales_17.orders"
}

// Query sends a statement to a controller, as a client with the given deadline, and returns the verdict and the time until
// it.
func Query(ctx context.Context, addr string, s Statement, deadline time.Duration) (standin.Verdict, time.Duration, error) {
	client, err := standin.Dial(ctx, addr, deadline)
	if err != nil {
		return standin.Lost, 0, err
	}
	defer client.Close()
	id := make([]byte, 8)
	rand.Read(id) // never fails
	fields := fmt.Sprintf("verb=%s,txn=%s", s.Class, hex.EncodeToString(id))
	if s.Class == daemon.LoadClass { // its attempts carry an idempotency key
		fields += ",unique=u" + hex.EncodeToString(id)
	}
	text := fmt.Sprintf("SELECT WORK(%.3f) FROM %s", float64(s.Work)/float64(time.Millisecond), s.Tables)
	began := time.Now()
	verdict, err := client.Query(fields, text, deadline)
	return verdict, time.Since(began), err
}
