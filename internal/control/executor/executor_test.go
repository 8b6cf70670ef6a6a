package executor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

// silentLedger accepts effects and never reports an outcome, like an unreachable
// store.
type silentLedger struct{}

func (silentLedger) Do(effect reducer.Effect) bool {
	switch effect.(type) {
	case reducer.ClaimShard, reducer.ReleaseShard, reducer.AppendRecords, reducer.SaveSnapshot:
		return true
	}
	return false
}

func newTestExecutor() *Executor {
	return New(Options{
		State:    reducer.New(reducer.Options{Daemon: "a", Domain: "d"}, reducer.Policies{}),
		Ledger:   silentLedger{},
		Publish:  func(*describer.RoutingTable) {},
		Interval: time.Second,
		Timeout:  time.Second,
		MaxCalls: 1,
		Scope:    tally.NoopScope,
		Log:      zerolog.Nop(),
	})
}

func status(id reducer.RequestID) reducer.Event { return reducer.StatusRequested{Request: id} }

func TestAskReturnsTheReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor()
		defer e.Close()
		reply, err := e.Ask(t.Context(), status)
		if err != nil || reply.Status == nil || reply.Status.Daemon != "a" {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
	})
}

func TestAskReturnsARefusalWithItsVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor()
		defer e.Close()
		_, err := e.Ask(t.Context(), func(id reducer.RequestID) reducer.Event {
			return reducer.JobStatusRequested{Request: id, Job: "nobody's"}
		})
		var refusal *classifier.Error
		if !errors.As(err, &refusal) || refusal.Verdict != classifier.NotRun {
			t.Fatalf("error %v", err)
		}
	})
}

func TestAskMayHaveRunWhenNobodyReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor()
		defer e.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := e.Ask(ctx, func(reducer.RequestID) reducer.Event {
			return reducer.StoreChecked{Reachable: true} // this event has no reply
		})
		if err == nil || classifier.VerdictOf(err) != classifier.MayHaveRun {
			t.Fatalf("error %v", err)
		}
	})
}

func TestAskIsNotRunOnceClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor()
		e.Close()
		for len(e.inbox) < cap(e.inbox) {
			e.inbox <- reducer.StoreChecked{} // the control goroutine no longer receives
		}
		_, err := e.Ask(t.Context(), status)
		if classifier.VerdictOf(err) != classifier.NotRun {
			t.Fatalf("error %v", err)
		}
	})
}
