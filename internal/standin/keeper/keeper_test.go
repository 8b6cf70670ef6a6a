package keeper_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/standin/keeper"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

var _ = Describe("Keeper", func() {
	var (
		k   *keeper.Keeper
		c   *storer.Client
		ctx = context.Background()
	)
	BeforeEach(func() {
		var err error
		k, err = keeper.New("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { k.Close() })
		c = storer.New("http://"+k.Address, &http.Client{Transport: &http.Transport{}})
	})

	It("swaps only at the expected revision", func() {
		first, err := c.Swap(ctx, "a", []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Swap(ctx, "a", []byte("2"), 0, 0)
		Expect(err).To(MatchError(storer.ErrConflict))
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
		second, err := c.Swap(ctx, "a", []byte("2"), first, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeNumerically(">", first))
		Expect(c.Delete(ctx, "a", second)).To(Succeed())
		_, err = c.Get(ctx, "a")
		Expect(err).To(MatchError(storer.ErrNotFound))
		_, err = c.Swap(ctx, "a", []byte("3"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses values over 1 MB as not run", func() {
		_, err := c.Swap(ctx, "a", make([]byte, storer.MaxValueSize+1), 0, 0)
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
		_, err = c.Swap(ctx, "a", make([]byte, storer.MaxValueSize), 0, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("deletes the keys of an expired lease and reports that to watches", func() {
		lease, err := c.Grant(ctx, time.Second) // long enough for the swap on a busy machine
		Expect(err).NotTo(HaveOccurred())
		revision, err := c.Swap(ctx, "owner/1", []byte("me"), 0, lease)
		Expect(err).NotTo(HaveOccurred())
		changes, next, err := c.Watch(ctx, "owner/", revision, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Deleted).To(BeTrue())
		Expect(next).To(BeNumerically(">", revision))
		Expect(c.Renew(ctx, lease)).To(MatchError(storer.ErrNoLease))
		_, err = c.Swap(ctx, "owner/1", nil, 0, lease)
		Expect(err).To(MatchError(storer.ErrNoLease))
	})

	It("applies a write whose response it drops", func() {
		k.DropResponses(1, 0, 0)
		_, err := c.Swap(ctx, "a", []byte("1"), 0, 0)
		Expect(err).To(HaveOccurred())
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
		item, err := c.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Value).To(Equal([]byte("1")))
		Expect(k.Counts().DroppedResponses).To(BeEquivalentTo(1))
	})

	It("applies no writes during an outage, but counts the calls", func() {
		k.SetOutage(true)
		_, err := c.Swap(ctx, "a", []byte("1"), 0, 0)
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
		k.SetOutage(false)
		_, err = c.Get(ctx, "a")
		Expect(err).To(MatchError(storer.ErrNotFound))
		Expect(k.Counts().Calls).To(HaveKeyWithValue("swap", int64(1)))
	})

	It("lets clients report not run when no connection was made", func() {
		k.Close()
		_, err := c.Get(ctx, "a")
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
	})

	It("counts waiting watches and ends them in an outage", func() {
		failed := make(chan error)
		go func() {
			_, _, err := c.Watch(ctx, "a", 0, time.Minute)
			failed <- err
		}()
		Eventually(func() int64 { return k.Counts().WaitingWatches }).Should(BeEquivalentTo(1))
		k.SetOutage(true)
		Eventually(failed).Should(Receive(HaveOccurred()))
		Expect(k.Counts().PeakWatches).To(BeEquivalentTo(1))
	})
})
