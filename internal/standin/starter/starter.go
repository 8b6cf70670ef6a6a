// Package starter runs each stand-in as a process of its own.
//
// Every function listens, prints one line "NAME listens on IP:PORT", and
// returns when its context ends. Further settings arrive over HTTP, as
// docs/PLATFORM.md describes.
//
//	err := starter.Store(ctx, "127.0.0.1:7100", os.Stdout)
package starter

import (
	"context"
	"fmt"
	"io"
	"time"

	"dotterelcart.dev/dotterelcart/internal/standin/balancer"
	"dotterelcart.dev/dotterelcart/internal/standin/delayer"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
	"dotterelcart.dev/dotterelcart/internal/standin/keeper"
	"dotterelcart.dev/dotterelcart/internal/standin/registrar"
)

// Domain describes the workers of one failure domain.
type Domain struct {
	Region  string
	Domain  string
	Service string
	Workers int
}

// Store runs the store.
func Store(ctx context.Context, address string, out io.Writer) error {
	k, err := keeper.New(address)
	if err != nil {
		return err
	}
	return run(ctx, out, "store", k.Address, k)
}

// Hosts runs the host list, whose changes show after lag.
func Hosts(ctx context.Context, address string, lag time.Duration, out io.Writer) error {
	r, err := registrar.New(address, lag)
	if err != nil {
		return err
	}
	return run(ctx, out, "hosts", r.Address, r)
}

// Workers runs all workers of some failure domains with one audit; address is
// that of their switches.
func Workers(ctx context.Context, address string, domains []Domain, out io.Writer) error {
	var options []hoster.Options
	for _, d := range domains {
		options = append(options, hoster.Typical(d.Region, d.Domain, d.Service, d.Workers)...)
	}
	f, err := hoster.NewFleet(address, options)
	if err != nil {
		return err
	}
	return run(ctx, out, "workers", f.Address, f)
}

// Balancer runs the balancer over the targets.
func Balancer(ctx context.Context, address string, targets []balancer.Target, interval time.Duration, out io.Writer) error {
	b, err := balancer.New(address, targets, interval)
	if err != nil {
		return err
	}
	return run(ctx, out, "balancer", b.Address, b)
}

// Delayer runs the links; address is where links and relays are made.
func Delayer(ctx context.Context, address string, out io.Writer) error {
	h, err := delayer.NewHub(address)
	if err != nil {
		return err
	}
	return run(ctx, out, "delayer", h.Address, h)
}

func run(ctx context.Context, out io.Writer, name, address string, part io.Closer) error {
	fmt.Fprintf(out, "%s listens on %s\n", name, address)
	<-ctx.Done()
	return part.Close()
}
