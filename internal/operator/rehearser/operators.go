package rehearser

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
	"github.com/rotisserie/eris"
)

func drain(w *world, args []string) error {
	if len(args) < 3 {
		return eris.New("usage: drain ID D WORKER...")
	}
	lasting, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := w.limited()
	defer cancel()
	return deployer.Retry(ctx, func() error { return w.d.Drain(ctx, args[0], args[2:], lasting) })
}

// planDrain asks for the plan of a drain and does not confirm it.
func planDrain(w *world, args []string) error {
	if len(args) < 3 {
		return eris.New("usage: plan ID D WORKER...")
	}
	lasting, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := w.limited()
	defer cancel()
	intent := describer.Intent{ID: args[0], Action: describer.DrainWorkers, Workers: args[2:], For: lasting}
	var made describer.Plan
	err = deployer.Retry(ctx, func() error { return w.d.CallOperators(ctx, http.MethodPost, "/v1/intents", intent, &made) })
	if err != nil {
		return err
	}
	w.plans[args[0]] = made.ID
	return nil
}

// confirm confirms the plan of an intent.
func confirm(w *world, args []string) error {
	if len(args) != 1 || w.plans[args[0]] == "" {
		return eris.New("usage: confirm ID, of a plan made before")
	}
	ctx, cancel := w.limited()
	defer cancel()
	path := "/v1/plans/" + w.plans[args[0]] + "/confirm"
	return deployer.Retry(ctx, func() error { return w.d.CallOperators(ctx, http.MethodPost, path, nil, nil) })
}

// race lets two operators plan first and confirm at the same time.
func race(w *world, args []string) error {
	if len(args) < 4 {
		return eris.New("usage: race ID1 ID2 D WORKER...")
	}
	lasting, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	ctx, cancel := w.limited()
	defer cancel()
	var plans [2]describer.Plan
	for i := range plans {
		intent := describer.Intent{ID: args[i], Action: describer.DrainWorkers, Workers: args[3:], For: lasting}
		err := deployer.Retry(ctx, func() error {
			return w.d.CallOperators(ctx, http.MethodPost, "/v1/intents", intent, &plans[i])
		})
		if err != nil {
			return err
		}
	}
	var both sync.WaitGroup
	var confirmed atomic.Int32
	for i, p := range plans {
		e := w.d.Domains[i].Entries[0]
		both.Go(func() {
			url := "http://" + e.Settings.Listen.Operators + "/v1/plans/" + p.ID + "/confirm"
			if deployer.CallJSON(ctx, client, http.MethodPost, url, nil, nil) == nil {
				confirmed.Add(1)
			}
		})
	}
	both.Wait()
	if n := confirmed.Load(); n > 1 {
		return eris.New("both conflicting plans were confirmed")
	}
	return nil
}
