package liveness_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/liveness"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 4000, 0) }

// step is an event of a check and the command that follows.
type step struct {
	event func(*liveness.Check)
	want  liveness.Command
}

func TestCommands(t *testing.T) {
	now := time.Unix(0, 0)
	closed := func(reused bool) func(*liveness.Check) {
		return func(c *liveness.Check) { c.Closed(now, reused) }
	}
	answered := func(accepted bool) func(*liveness.Check) {
		return func(c *liveness.Check) { c.WitnessAnswered(accepted) }
	}
	responded := func(sent liveness.Moment) func(*liveness.Check) {
		return func(c *liveness.Check) { c.Responded(sent) }
	}
	for _, tc := range []struct {
		name      string
		witnesses []string
		steps     []step
		want      []liveness.Result
	}{
		{"responds", nil, []step{{responded(6), liveness.Finish{}}}, []liveness.Result{{Caller: 1, Status: liveness.Alive}}},
		{"responds to an earlier request", nil, []step{{responded(5), liveness.Ask{}}}, nil},
		{"idle connection was closed", nil, []step{{closed(true), liveness.Ask{Fresh: true}}}, nil},
		{"new connections are closed", nil, []step{
			{closed(false), liveness.Pause{Until: now.Add(time.Millisecond)}},
			{closed(false), liveness.Pause{Until: now.Add(2 * time.Millisecond)}},
		}, nil},
		{"refused without a witness", nil, []step{{(*liveness.Check).Refused, liveness.Finish{}}}, []liveness.Result{{Caller: 1, Status: liveness.Ended}}},
		{"refused, witness accepts", []string{"w"}, []step{
			{(*liveness.Check).Refused, liveness.AskWitness{Address: "w"}}, {answered(true), liveness.Finish{}},
		}, []liveness.Result{{Caller: 1, Status: liveness.Ended}}},
		{"refused, second witness accepts", []string{"w", "x"}, []step{
			{(*liveness.Check).Refused, liveness.AskWitness{Address: "w"}}, {answered(false), liveness.AskWitness{Address: "x"}},
			{answered(true), liveness.Finish{}},
		}, []liveness.Result{{Caller: 1, Status: liveness.Ended}}},
		{"refused, all witnesses too", []string{"w"}, []step{
			{(*liveness.Check).Refused, liveness.AskWitness{Address: "w"}}, {answered(false), liveness.Finish{}},
		}, []liveness.Result{{Caller: 1, Status: liveness.Unproven}}},
		{"no connection opens", nil, []step{
			{(*liveness.Check).NoConnection, liveness.Ask{Fresh: true}}, {(*liveness.Check).NoConnection, liveness.Finish{}},
		}, []liveness.Result{{Caller: 1, Status: liveness.Unproven}}},
		{"another process responds", nil, []step{{(*liveness.Check).Replaced, liveness.Finish{}}}, []liveness.Result{{Caller: 1, Status: liveness.Ended}}},
		{"caller leaves", nil, []step{{func(c *liveness.Check) { c.Leave(1) }, liveness.Finish{}}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := liveness.NewCheck(tc.witnesses)
			c.Join(1, 5)
			if got := c.Next(now); got != (liveness.Ask{}) {
				t.Errorf("first command %+v, want a health check over an idle connection", got)
			}
			for i, s := range tc.steps {
				s.event(c)
				if got := c.Next(now); got != s.want {
					t.Errorf("command after event %d: %+v, want %+v", i, got, s.want)
				}
			}
			if got := c.Results(); !slices.Equal(got, tc.want) {
				t.Errorf("results %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestPauseIsBounded guards against health checks that pause ever longer, or not at all, while a live target resets connections.
func TestPauseIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	c := liveness.NewCheck(nil)
	c.Join(1, 0)
	for range 20 {
		c.Closed(now, false)
		p, ok := c.Next(now).(liveness.Pause)
		if !ok || !p.Until.After(now) || p.Until.Sub(now) > 100*time.Millisecond {
			t.Fatalf("next command %+v, want a pause of at most 100 ms", c.Next(now))
		}
		now = p.Until
	}
}

// process is a model of a process, its listening socket and the requests that were sent to it.
type process struct {
	check  *liveness.Check
	now    time.Time
	moment liveness.Moment
	died   liveness.Moment // 0 while the process runs
	ends   map[liveness.CallerID]liveness.Moment
	sent   []liveness.Moment // requests without a response

	written []liveness.Moment // requests whose responses are on their way
}

// join adds a caller that observes the end of a connection.
func (p *process) join(*rapid.T) {
	id := liveness.CallerID(len(p.ends) + 1)
	p.ends[id] = p.moment
	p.check.Join(id, p.moment)
}

// step executes the next command of the check. A process that is ending still accepts connections.
func (p *process) step(t *rapid.T) {
	switch cmd := p.check.Next(p.now).(type) {
	case liveness.Ask:
		if p.died != 0 && rapid.Bool().Draw(t, "listener closed") {
			p.check.Refused()
		} else {
			p.sent = append(p.sent, p.moment)
		}
	case liveness.AskWitness:
		p.check.WitnessAnswered(rapid.Bool().Draw(t, "witness accepts"))
	case liveness.Pause:
		p.now = cmd.Until
	case liveness.Finish:
	}
}

// send sends a request that is no health check.
func (p *process) send(*rapid.T) { p.sent = append(p.sent, p.moment) }

// respond writes the response to the oldest request. If the process has ended, the connection of the request closes.
func (p *process) respond(t *rapid.T) {
	if len(p.sent) == 0 {
		return
	}
	if p.died == 0 {
		p.written = append(p.written, p.sent[0])
	} else {
		p.check.Closed(p.now, rapid.Bool().Draw(t, "idle connection"))
	}
	p.sent = p.sent[1:]
}

// arrive delivers the oldest response that the process has written, maybe after the process has ended.
func (p *process) arrive(*rapid.T) {
	if len(p.written) > 0 {
		p.check.Responded(p.written[0])
		p.written = p.written[1:]
	}
}

func (p *process) die(*rapid.T) {
	if p.died == 0 {
		p.died = p.moment
	}
}

// TestStatusIsTrue guards against a process that counts as alive for a caller whose connection ended after it, or as ended
// while it runs, in any order of events.
func TestStatusIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &process{check: liveness.NewCheck([]string{"w"}), now: time.Unix(0, 0), ends: map[liveness.CallerID]liveness.Moment{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p.moment++
			rapid.SampledFrom([]func(*rapid.T){p.join, p.step, p.send, p.respond, p.arrive, p.die}).Draw(t, "step")(t)
			for _, r := range p.check.Results() {
				if r.Status == liveness.Alive && p.died != 0 && p.ends[r.Caller] >= p.died {
					t.Fatalf("alive for the end at %d of a process that died at %d", p.ends[r.Caller], p.died)
				}
				if r.Status == liveness.Ended && p.died == 0 {
					t.Fatal("ended, but the process runs")
				}
			}
		}
	})
}
