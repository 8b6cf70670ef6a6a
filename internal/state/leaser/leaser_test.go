package leaser_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/internal/state/faker"
	"dotterelcart.dev/dotterelcart/internal/state/leaser"
)

const (
	ttl    = 9 * time.Second
	margin = time.Second
)

var _ = Describe("Lease", func() {
	var client *faker.Client
	var lease *leaser.Lease
	var ended *atomic.Int32

	// withLease returns a spec that runs f with a new lease in virtual time.
	withLease := func(f func()) func() {
		return faker.WithVirtualTime(&current, func() {
			client, ended = faker.New().Client("a"), &atomic.Int32{}
			lease = leaser.New(leaser.Options{
				TTL: ttl, Margin: margin, Log: zerolog.Nop(),
				Ended: func(int64) { ended.Add(1) },
			}, client)
			defer func() {
				lease.Close()
				<-lease.Done
			}()
			f()
		})
	}
	acquire := func() int64 {
		id, err := lease.Acquire(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return id
	}

	It("stays valid through renewals and is granted once", withLease(func() {
		Expect(lease.IsValid()).To(BeFalse())
		id := acquire()
		time.Sleep(time.Minute)
		Expect(lease.IsValid()).To(BeTrue())
		Expect(acquire()).To(Equal(id))
		Expect(client.CallCount("renew")).To(BeNumerically("<=", 21))
	}))

	It("is valid for the TTL from the time at which the renewal was sent", withLease(func() {
		client.SetDelay(func(faker.Call) time.Duration { return 2 * time.Second })
		acquire()
		client.SetDown(true)
		time.Sleep(ttl - margin - 2*time.Second - time.Millisecond)
		Expect(lease.IsValid()).To(BeTrue())
		time.Sleep(2 * time.Millisecond)
		Expect(lease.IsValid()).To(BeFalse())
		Expect(ended.Load()).To(BeZero())
	}))

	It("ends when the store reports that it is gone, and can be granted again", withLease(func() {
		id := acquire()
		client.SetDown(true)
		time.Sleep(time.Minute)
		Expect(ended.Load()).To(BeZero())
		client.SetDown(false)
		time.Sleep(ttl)
		Expect(ended.Load()).To(BeEquivalentTo(1))
		Expect(lease.ID()).To(BeZero())
		Expect(acquire()).NotTo(Equal(id))
		Expect(lease.IsValid()).To(BeTrue())
	}))

	It("stays revoked when a renewal was in progress during the revocation", withLease(func() {
		acquire()
		client.SetDelay(func(c faker.Call) time.Duration {
			switch c.Operation {
			case "renew":
				return time.Second / 2
			case "revoke":
				return time.Second
			}
			return 0
		})
		time.Sleep(ttl/3 + time.Millisecond)
		Expect(lease.Revoke(context.Background())).To(Succeed())
		time.Sleep(2 * time.Second)
		Expect(lease.IsValid()).To(BeFalse())
		Expect(ended.Load()).To(BeZero())
	}))
})
