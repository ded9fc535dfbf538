package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRefusal measures the refusal of a request of one of 27,000 accounts at a
// full queue, with the reports of 100 peers.
func BenchmarkRefusal(b *testing.B) {
	q := Queue[int]{Max: 1024}
	var rate RateEstimator
	var reports Reports
	var returns Returns
	now := noon
	for i := range 1024 {
		if err := q.Push(item(fmt.Sprint(i), 5, 100), i); err != nil {
			b.Fatal(err)
		}
		rate.Record(now)
		now = now.Add(5 * time.Millisecond)
	}
	for i := range 100 {
		report := PoolReport{Pool: "m", Rate: 3}
		for j := range 32 {
			report.Classes = append(report.Classes, ClassReport{Account: fmt.Sprint(j), Accounts: 1, Priority: 5, Waiting: 2})
		}
		reports.Set(fmt.Sprint(i), []PoolReport{report}, now)
	}
	accounts := make([]string, 27000)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account ", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		it := item(accounts[i%len(accounts)], 5, 100)
		it.Returning = returns.Claim("m", it.Account, 5, now)
		p := q.Predict(it, &rate, reports.Fleet("m", it.Account, 5, now), now)
		accountRate := rate.AccountRate(returns.Accounts("m", 5), now)
		after := returns.Refuse(Refusal{Pool: "m", Account: it.Account, Priority: 5, Wait: p.Wait, Rate: accountRate, Limit: MaxReturn}, now)
		q.Keep(it, now, now.Add(after+ReturnGrace))
	}
}
