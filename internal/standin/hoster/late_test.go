package hoster

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
)

const (
	testLease = 10 * time.Second
	testWork  = time.Minute
)

// testRun returns a request for a run of the same task under a lease of testLease.
func testRun(sequence int64) runner.StartRequest {
	return runner.StartRequest{
		Task: describer.TaskID{Job: "j"}, Token: describer.Token{Epoch: 1, Sequence: sequence},
		Granted: describer.Resources{CPU: 1000}, Lease: testLease, RunTime: testWork,
	}
}

// newLatePair returns two agents with the same auditor in virtual time. The first one's
// timer never fires, as if its process got no processor time.
func newLatePair(t *testing.T) (late, other *Agent, audit *auditor.Auditor) {
	audit = auditor.New()
	o := TypicalWorkers("seq", "seq-bne", "menu-desk", 2)
	late, other = NewAgent(o[0], audit), NewAgent(o[1], audit)
	late.timer.Stop()
	late.timer = time.NewTimer(testWork)
	t.Cleanup(late.Kill)
	t.Cleanup(other.Kill)
	return late, other, audit
}

// mustStart starts a run.
func mustStart(t *testing.T, a *Agent, s runner.StartRequest) {
	t.Helper()
	if started, err := a.Start(s); !started || err != nil {
		t.Fatalf("started %v, error %v", started, err)
	}
}

// TestLateExpiryIsNoSecondRun guards against a verdict that depends on when a timer of the
// stand-in fires: a run is over at the end of its lease, also if its worker reports that
// after another one has started the task.
func TestLateExpiryIsNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, other, audit := newLatePair(t)
		mustStart(t, late, testRun(1))
		late.SetPaused(true)
		time.Sleep(testLease)
		mustStart(t, other, testRun(2))
		late.SetPaused(false)
		if r := audit.Report(); r.Duplicated != 0 || r.LeaseExpired != 1 {
			t.Fatalf("report %+v", r)
		}
	})
}

// TestRunUnderALeaseIsASecondRun guards against the opposite: another run that starts just
// before the end of the lease, or of a renewed one, is a violation.
func TestRunUnderALeaseIsASecondRun(t *testing.T) {
	for _, renewed := range []time.Duration{0, testLease / 2} {
		synctest.Test(t, func(t *testing.T) {
			late, other, audit := newLatePair(t)
			s := testRun(1)
			mustStart(t, late, s)
			time.Sleep(renewed)
			_, _ = late.Sync(runner.SyncRequest{Epoch: 1, Lease: testLease, Renew: []runner.Run{{Task: s.Task, Token: s.Token}}})
			time.Sleep(testLease - time.Nanosecond)
			mustStart(t, other, testRun(2))
			if r := audit.Report(); r.Duplicated != 1 {
				t.Fatalf("report %+v", r)
			}
		})
	}
}

// TestLateCompletionIsASecondRun guards against a run that completes under its lease and is
// reported late: another run that has started since is a violation.
func TestLateCompletionIsASecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, other, audit := newLatePair(t)
		s := testRun(1)
		s.RunTime = testLease / 2
		mustStart(t, late, s)
		time.Sleep(testLease)
		mustStart(t, other, testRun(2))
		late.onTimer()
		if r := audit.Report(); r.Duplicated != 1 {
			t.Fatalf("report %+v", r)
		}
	})
}

// TestDeadWorkerStartsNothing guards against a call that waits for the end of a pause and
// is carried out on the worker that was killed meanwhile. Its run would never end.
func TestDeadWorkerStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		audit := auditor.New()
		a := NewAgent(TypicalWorkers("seq", "seq-bne", "menu-desk", 1)[0], audit)
		a.Kill()
		if _, err := a.Start(testRun(1)); err == nil || audit.Report().Runs != 0 {
			t.Fatalf("error %v, report %+v", err, audit.Report())
		}
	})
}

// TestPausedWorkerCarriesOutNothing guards against a paused worker that carries out a call
// once its caller has given up. A frozen process does so only after it has been resumed.
func TestPausedWorkerCarriesOutNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Worker{paused: make(chan struct{})}
		called := false
		handler := serve(w, func(struct{}) (struct{}, error) {
			called = true
			return struct{}{}, errors.New("done")
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		go handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil))
		synctest.Wait()
		if called {
			t.Error("the call was carried out during the pause")
		}
		close(w.paused)
		synctest.Wait()
		if !called {
			t.Error("the call was not carried out after the pause")
		}
	})
}

// TestSilencedResponseIsTruncated guards against a response that a silent connection breaks
// off without a report. One that is lost as a whole is none: no caller gets a part of it.
func TestSilencedResponseIsTruncated(t *testing.T) {
	for _, partly := range []bool{false, true} {
		audit := auditor.New()
		server, client := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		c := &conn{Conn: server, backend: &backend{worker: &Worker{audit: audit}}}
		c.begin("r")
		if partly {
			_, _ = c.Write([]byte("header"))
		}
		c.silent.Store(true)
		for range 2 {
			_, _ = c.Write([]byte("body"))
		}
		if got := audit.TakeTruncation("r"); got != partly {
			t.Errorf("truncated %t, want %t", got, partly)
		}
		if audit.TakeTruncation("r") {
			t.Error("truncated twice")
		}
		_ = server.Close()
	}
}
