package server

import (
	"context"
	"time"

	"dotterelcart.dev/dotterelcart/internal/control/reducer"
	"dotterelcart.dev/dotterelcart/internal/state/waiter"
)

const (
	balancerTime = time.Second // for the balancer to see that readiness fails
	releasePoll  = 20 * time.Millisecond
)

// Shutdown is a planned stop. Readiness fails first, then requests in flight
// end, shards are released and the parts close. It returns the number of
// requests that were cut because ctx ended before them.
func (s *Server) Shutdown(ctx context.Context) (cut int) {
	s.ending.Do(func() {
		s.log.Info().Str("part", "server").Msg("planned stop")
		s.stopping.Store(true)
		s.metrics.Ready.Store(false)
		s.members.Leave()
		s.control.Post(reducer.StopRequested{})
		waiter.Sleep(ctx, balancerTime)
		cut = s.forwarder.Drain(ctx)
		if err := s.callers.Shutdown(ctx); err != nil {
			s.log.Warn().Str("part", "server").Err(err).Msg("callers cut off")
		}
		s.lender.HandBack(ctx)
		s.awaitRelease(ctx)
		s.close(ctx)
		s.log.Info().Str("part", "server").Int("cut", cut).Msg("stopped")
	})
	<-s.Done
	return cut
}

// Close ends the daemon at once, as a crash would: nothing is released and
// requests in flight are cut off.
func (s *Server) Close() {
	s.ending.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.close(ctx)
	})
	<-s.Done
}

func (s *Server) close(ctx context.Context) {
	s.metrics.Ready.Store(false)
	s.cancel()
	_ = s.callers.Close()
	_ = s.operators.Close()
	_ = s.lender.Close()
	s.seat.Close()
	s.control.Close()
	if err := s.holder.Close(ctx); err != nil {
		s.log.Info().Str("part", "server").Err(err).Msg("store lease not revoked, it will lapse")
	}
	s.config.Close()
	s.members.Close()
	_ = s.node.Close()
	_ = s.forwarder.Close()
	s.tasks.Wait()
	_ = s.metrics.Close()
	close(s.Done)
}

// awaitRelease waits until no shard is owned any more.
func (s *Server) awaitRelease(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	for len(s.table.Load().Owned) > 0 && limited.Err() == nil {
		waiter.Sleep(limited, releasePoll)
	}
}
