// Package lister is the client of the platform's lagging host list.
package lister

import (
	"context"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
)

// HostList is the host list. It lags and may name hosts that are gone.
type HostList interface {
	Hosts(ctx context.Context) ([]describer.Host, error)
}
