package prober_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

// candidate is what a way of keeping membership costs and how fast it is.
type candidate struct {
	detect      time.Duration
	falseDead   int
	bytesPerSec float64
}

// heartbeats is a model of protocols in which members send heartbeats to fixed
// peers and hold one dead that was silent for four periods: all-to-all, and
// the overlapping ring with sqrt(N) neighbours downstream and as many heads.
type heartbeats struct {
	n    int
	ring bool
	loss float64
	rng  *rand.Rand
}

const (
	heartbeatPeriod  = time.Second
	heartbeatTimeout = 4 * time.Second
	heartbeatBytes   = headerBytes + 60
	// confirmTime is the direct probe that the ring makes before it believes others.
	confirmTime = 600 * time.Millisecond
)

// peers returns the members that i sends heartbeats to, and hears from.
func (h *heartbeats) peers(i int) []int {
	var out []int
	if !h.ring {
		for j := range h.n {
			if j != i {
				out = append(out, j)
			}
		}
		return out
	}
	m := int(math.Ceil(math.Sqrt(float64(h.n))))
	seen := map[int]bool{i: true}
	for k := 1; k < m; k++ {
		for _, j := range []int{(i + k) % h.n, (i + h.n - k) % h.n, (i + k*m) % h.n, (i + h.n - k*m%h.n) % h.n} {
			if !seen[j] {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}

// run returns the time until every survivor knows of a member that goes silent
// at the half of the span, and how often one that lives was held dead before.
func (h *heartbeats) run(span time.Duration) candidate {
	last := make([]map[int]time.Duration, h.n)
	phase := make([]time.Duration, h.n)
	sent := 0
	for i := range last {
		last[i] = map[int]time.Duration{}
		phase[i] = time.Duration(h.rng.Int64N(int64(heartbeatPeriod)))
	}
	peers := make([][]int, h.n)
	for i := range peers {
		peers[i] = h.peers(i)
	}
	var out candidate
	silentAt := span / 2
	detected := map[int]time.Duration{}
	for now := time.Duration(0); now < span; now += 100 * time.Millisecond {
		for i := range h.n {
			if (now+phase[i])%heartbeatPeriod < 100*time.Millisecond && (i != 0 || now < silentAt) {
				for _, j := range peers[i] {
					sent++
					if h.rng.Float64() >= h.loss {
						last[j][i] = now
					}
				}
			}
			for j, at := range last[i] {
				if now-at < heartbeatTimeout {
					continue
				}
				if j == 0 && now >= silentAt {
					if _, ok := detected[i]; !ok {
						detected[i] = now - silentAt
					}
				} else {
					out.falseDead++
					last[i][j] = now
				}
			}
		}
	}
	for _, d := range detected {
		out.detect = max(out.detect, d)
	}
	if h.ring {
		// The others are told by the next heartbeat of a monitor, and probe themselves.
		out.detect += heartbeatPeriod + confirmTime
	}
	out.bytesPerSec = 2 * float64(sent*heartbeatBytes) / float64(h.n) / span.Seconds()
	return out
}

func swim(n int, loss float64, seed uint64) candidate {
	c := newCluster(n, loss, seed)
	c.run(10*time.Second, nil)
	c.bytes = 0
	span := 20 * time.Second
	var out candidate
	for range int(span / time.Second) {
		c.run(time.Second, nil)
		out.falseDead += c.dead()
	}
	// Each byte is sent by one member and taken by another.
	out.bytesPerSec = 2 * float64(c.bytes) / float64(n) / span.Seconds()
	c.silent[0] = true
	out.detect = c.run(time.Minute, func() bool { return c.states(0, prober.Dead) == n-1 })
	return out
}

// pauses returns how many members are held dead when a tenth of them freeze for 2 s.
func pauses(n int, seed uint64) int {
	c := newCluster(n, 0, seed)
	c.run(10*time.Second, nil)
	for i := range n / 10 {
		c.silent[i] = true
	}
	c.run(2*time.Second, nil)
	clear(c.silent)
	dead := 0
	for range 10 {
		c.run(time.Second, nil)
		dead = max(dead, c.dead())
	}
	return dead
}

// BenchmarkMembership compares the candidates at three sizes:
//
//	go test -run - -bench Membership -benchtime 1x ./internal/prober
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{16, 74, 520} {
		for name, run := range map[string]func(loss float64) candidate{
			"allToAll": func(loss float64) candidate {
				return (&heartbeats{n: n, loss: loss, rng: rand.New(rand.NewPCG(1, 1))}).run(40 * time.Second)
			},
			"ring": func(loss float64) candidate {
				return (&heartbeats{n: n, ring: true, loss: loss, rng: rand.New(rand.NewPCG(1, 1))}).run(40 * time.Second)
			},
			"swim": func(loss float64) candidate { return swim(n, loss, 1) },
		} {
			for _, loss := range []float64{0, 0.05} {
				b.Run(fmt.Sprintf("%s/members=%d/loss=%v", name, n, loss), func(b *testing.B) {
					for range b.N {
						c := run(loss)
						b.ReportMetric(c.detect.Seconds(), "detect-s")
						b.ReportMetric(float64(c.falseDead), "false-dead")
						b.ReportMetric(c.bytesPerSec, "B/s")
					}
				})
			}
		}
		b.Run(fmt.Sprintf("swim/members=%d/pauses", n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(pauses(n, 1)), "false-dead")
			}
		})
	}
}
