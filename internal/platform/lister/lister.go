// Package lister is the client of the platform's host list, which names all hosts
// with their roles, states and addresses, but lags behind the actual state.
package lister

import (
	"context"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// HostList is the platform's host list. The list is eventually consistent: it may
// contain hosts that are gone, and lack new ones.
type HostList interface {
	// Hosts returns all hosts in the list.
	Hosts(ctx context.Context) ([]describer.Host, error)
}
