package rehearser

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/standin/deployer"
)

// drain plans and confirms a drain.
func drain(s *scenario, args []string) error {
	if len(args) < 3 {
		return eris.New("usage: drain ID D WORKER...")
	}
	duration, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	return deployer.Retry(ctx, func() error { return s.deployment.Drain(ctx, args[0], args[2:], duration) })
}

// evacuate plans and confirms an evacuation.
func evacuate(s *scenario, args []string) error {
	if len(args) != 2 {
		return eris.New("usage: evacuate ID DOMAIN")
	}
	return s.applyIntent(describer.Intent{ID: args[0], Action: describer.Evacuate, Domain: args[1]})
}

// restore plans and confirms the restore of a drain or an evacuation.
func restore(s *scenario, args []string) error {
	if len(args) != 1 {
		return eris.New("usage: restore ID")
	}
	return s.applyIntent(describer.Intent{ID: "restore-" + args[0], Action: describer.Restore, Drain: args[0]})
}

// applyIntent plans and confirms an intent, again until that succeeds.
func (s *scenario) applyIntent(intent describer.Intent) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	return deployer.Retry(ctx, func() error { return s.deployment.ApplyIntent(ctx, intent) })
}

// planDrain asks for the plan of a drain and remembers it for confirm.
func planDrain(s *scenario, args []string) error {
	if len(args) < 3 {
		return eris.New("usage: plan ID D WORKER...")
	}
	duration, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	intent := describer.Intent{ID: args[0], Action: describer.DrainWorkers, Workers: args[2:], For: duration}
	var plan describer.Plan
	err = deployer.Retry(ctx, func() error { return s.deployment.CallOperators(ctx, http.MethodPost, "/v1/intents", intent, &plan) })
	if err != nil {
		return err
	}
	s.plans[args[0]] = plan.ID
	return nil
}

// confirm confirms a plan that planDrain made.
func confirm(s *scenario, args []string) error {
	if len(args) != 1 || s.plans[args[0]] == "" {
		return eris.New("usage: confirm ID, after plan ID")
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	path := "/v1/plans/" + s.plans[args[0]] + "/confirm"
	return deployer.Retry(ctx, func() error { return s.deployment.CallOperators(ctx, http.MethodPost, path, nil, nil) })
}

// race plans two drains of the same workers and confirms both concurrently at two
// entry hosts. It fails if both confirmations succeed.
func race(s *scenario, args []string) error {
	if len(args) < 4 {
		return eris.New("usage: race ID1 ID2 D WORKER...")
	}
	duration, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	var plans [2]describer.Plan
	for i := range plans {
		intent := describer.Intent{ID: args[i], Action: describer.DrainWorkers, Workers: args[3:], For: duration}
		err := deployer.Retry(ctx, func() error {
			return s.deployment.CallOperators(ctx, http.MethodPost, "/v1/intents", intent, &plans[i])
		})
		if err != nil {
			return err
		}
	}
	var operators sync.WaitGroup
	var confirmed atomic.Int32
	for i, p := range plans {
		entry := s.deployment.Domains[i].Entries[0]
		operators.Go(func() {
			url := "http://" + entry.Settings.Listen.Operators + "/v1/plans/" + p.ID + "/confirm"
			if deployer.CallJSON(ctx, client, http.MethodPost, url, nil, nil) == nil {
				confirmed.Add(1)
			}
		})
	}
	operators.Wait()
	if n := confirmed.Load(); n > 1 {
		return eris.New("both conflicting plans were confirmed")
	}
	return nil
}
