package server

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

const (
	balancerDelay   = time.Second           // the balancer may take this long to notice that the daemon isn't ready
	releaseInterval = 20 * time.Millisecond // time between checks that the shards are released
)

// Shutdown performs a planned shutdown: it fails readiness checks, waits for
// requests in flight, releases the shards, and closes. It returns the number of
// requests that were aborted because ctx ended first. The first call of Shutdown
// or Close decides; a later one only waits.
func (s *Server) Shutdown(ctx context.Context) (aborted int) {
	s.stopOnce.Do(func() {
		s.log.Info().Str("part", "server").Msg("planned shutdown started")
		s.stopping.Store(true)
		s.metrics.Ready.Store(false)
		s.members.Leave()
		s.control.Post(reducer.StopRequested{})
		waiter.Sleep(ctx, balancerDelay)
		aborted = s.forwarder.Drain(ctx)
		if err := s.callerServer.Shutdown(ctx); err != nil {
			s.log.Warn().Str("part", "server").Err(err).Msg("caller server shutdown incomplete")
		}
		s.lender.HandBack(ctx)
		s.awaitRelease(ctx)
		s.close(ctx)
		s.log.Info().Str("part", "server").Int("cut", aborted).Msg("daemon stopped")
	})
	<-s.Done
	return aborted
}

// Close stops the daemon at once, as a crash would: shards aren't released and
// requests in flight are aborted.
func (s *Server) Close() {
	s.stopOnce.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.close(ctx)
	})
	<-s.Done
}

// close stops all components in the order of their dependencies and waits for the
// goroutines.
func (s *Server) close(ctx context.Context) {
	s.metrics.Ready.Store(false)
	s.cancel()
	_ = s.callerServer.Close()
	_ = s.operatorServer.Close()
	_ = s.lender.Close()
	s.shareLease.Close()
	s.control.Close()
	if err := s.holder.Close(ctx); err != nil {
		s.log.Info().Str("part", "server").Err(err).Msg("store lease not revoked, expires by itself")
	}
	s.config.Close()
	s.members.Close()
	_ = s.node.Close()
	_ = s.forwarder.Close()
	s.wg.Wait()
	_ = s.metrics.Close()
	close(s.Done)
}

// awaitRelease waits until the daemon owns no shard, at most for releaseTimeout.
func (s *Server) awaitRelease(ctx context.Context) {
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for len(s.table.Load().Owned) > 0 && releaseCtx.Err() == nil {
		waiter.Sleep(releaseCtx, releaseInterval)
	}
}
