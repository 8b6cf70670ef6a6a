package fencer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/job/recorder"
	"dotterelcart.dev/dotterelcart/internal/platform/storer"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// inBubble runs a test in a synctest bubble, which has virtual time.
func inBubble(t *testing.T, spec func(t *testing.T, g Gomega, store *faker.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { spec(t, NewWithT(t), faker.New()) })
}

// ownerWrite returns a write of the owner record, bound to a new lease of 3 s.
func ownerWrite(ctx context.Context, g Gomega, client *faker.Client, daemon string) storer.Write {
	lease, err := client.Grant(ctx, 3*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	return storer.Write{
		Key: recorder.OwnerKey("menus"), Value: recorder.Encode(recorder.Owner{Daemon: daemon}), Lease: lease,
	}
}

// claim makes a daemon the owner of the shard.
func claim(ctx context.Context, g Gomega, client *faker.Client, daemon string) *Fence {
	f := New("menus", daemon, client)
	g.Expect(f.Claim(ctx, ownerWrite(ctx, g, client, daemon))).To(Succeed())
	return f
}

// put returns a write of text to the key "k".
func put(text string) []storer.Write { return []storer.Write{{Key: "k", Value: []byte(text)}} }

// valueOf returns the text at the key "k".
func valueOf(ctx context.Context, g Gomega, client *faker.Client) string {
	item, err := client.Get(ctx, "k")
	g.Expect(err).NotTo(HaveOccurred())
	return string(item.Value)
}

// After a claim by the next owner, a write of the previous owner must fail.
func TestFormerOwnerCannotWrite(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a, b := store.Client("a"), store.Client("b")
		first, second := New("menus", "a", a), New("menus", "b", b)
		g.Expect(first.Claim(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
		g.Expect(first.Write(ctx, recorder.WorkerList{Workers: []string{"w1"}}, put("1"), nil)).To(Succeed())
		g.Expect(second.Claim(ctx, ownerWrite(ctx, g, b, "b"))).To(MatchError(ErrAlreadyOwned))
		time.Sleep(4 * time.Second) // the first owner's lease expires
		g.Expect(second.Claim(ctx, ownerWrite(ctx, g, b, "b"))).To(Succeed())
		g.Expect(second.Epoch).To(Equal(int64(1)))
		g.Expect(second.Token).To(BeNumerically(">", first.Token))
		g.Expect(second.Previous.Workers).To(Equal([]string{"w1"}))
		g.Expect(first.Write(ctx, recorder.WorkerList{}, put("late"), nil)).To(MatchError(ErrFenced))
		g.Expect(valueOf(ctx, g, b)).To(Equal("1"))
	})
}

// Only a process of the same daemon whose predecessor knew all earlier runs may take it
// that no others have leases.
func TestRestartedOwnerKnowsItsPredecessor(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a, b := store.Client("a"), store.Client("b")
		claim := func(daemon string, client *faker.Client) *Fence {
			f := claim(ctx, g, client, daemon)
			return f
		}
		g.Expect(claim("a", a).OwnerEnded).To(BeFalse())
		first := claim("a", a)
		g.Expect(first.OwnerEnded).To(BeFalse(), "the one before hasn't settled")
		g.Expect(first.Write(ctx, recorder.WorkerList{Workers: []string{"w1"}, Settled: true}, put("1"), nil)).To(Succeed())
		second := claim("a", a)
		g.Expect(second.OwnerEnded).To(BeTrue())
		third := claim("a", a)
		g.Expect(third.OwnerEnded).To(BeTrue(), "the first had settled, and had ended when the second claimed")
		g.Expect(third.Previous).To(Equal(recorder.WorkerList{Workers: []string{"w1"}, EarlierEnded: true, Rule: recorder.QuorumRule}))
		unsettled := recorder.WorkerList{
			Workers: []string{"w1", "w2"}, Inherited: []recorder.WorkerLease{{Worker: "w1", Remaining: time.Second}},
			InheritedKnown: true, Leaving: []string{"w2"},
		}
		g.Expect(third.Write(ctx, unsettled, put("2"), nil)).To(Succeed())
		fourth := claim("a", a)
		g.Expect(fourth.OwnerEnded).To(BeTrue(), "the third has recorded the leases of earlier owners")
		g.Expect(fourth.Previous).To(Equal(unsettled))
		g.Expect(claim("a", a).Previous).To(Equal(recorder.WorkerList{
			Workers: []string{"w1", "w2"}, EarlierEnded: true, Earlier: unsettled.Inherited, Rule: recorder.QuorumRule,
		}), "the fourth may have granted leases on all of them")
		time.Sleep(4 * time.Second) // its lease expires
		other := claim("b", b)
		g.Expect(other.OwnerEnded).To(BeFalse(), "another daemon")
		g.Expect(other.EarlierKnown).To(BeTrue())
		g.Expect(claim("b", b).OwnerEnded).To(BeFalse(), "the owner before may still renew leases")
	})
}

// Writes whose responses are lost must be reported as successful and applied in
// order, as the fence shows that they took effect.
func TestLostAnswerIsSettled(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		f := claim(ctx, g, a, "a")
		lost := 0
		a.SetFault(func(c faker.Call) faker.Outcome {
			if c.Operation == "commit" && lost < 2 {
				lost++
				return faker.LoseResponse
			}
			return faker.Succeed
		})
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("1"), nil)).To(Succeed())
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("2"), nil)).To(Succeed())
		g.Expect(valueOf(ctx, g, a)).To(Equal("2"))
	})
}

// TestLateWriteOfTheSameOwner guards against an owner that takes an earlier write of its own, which
// was carried out after its time was over, for that of another owner, and can't release its shard.
func TestLateWriteOfTheSameOwner(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a, key := store.Client("a"), recorder.OwnerKey("menus")
		f := claim(ctx, g, a, "a")
		a.SetDelay(func(c faker.Call) time.Duration { return 2 * time.Second })
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(f.Write(limited, recorder.WorkerList{}, put("1"), nil)).NotTo(Succeed())
		g.Expect(valueOf(ctx, g, a)).To(Equal("1"))
		a.SetDelay(nil)
		g.Expect(f.Release(ctx, key, nil)).To(Succeed())
		_, err := a.Get(ctx, key)
		g.Expect(err).To(MatchError(storer.ErrNotFound))
	})
}

// A write that is started during a store outage must take effect after it.
func TestOutageIsRiddenOut(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		f := claim(ctx, g, a, "a")
		a.SetDown(true)
		time.AfterFunc(30*time.Second, func() { a.SetDown(false) })
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("1"), nil)).To(Succeed())
		g.Expect(f.RestoreOwner(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
		g.Expect(valueOf(ctx, g, a)).To(Equal("1"))
	})
}

// A release tells the next owner how long leases may still be valid. If that
// owner then dies without a release, the owner after it must not take the old
// release for one of that owner.
func TestReleaseIsForTheNextOwnerOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		client := store.Client("a")
		key := recorder.OwnerKey("menus")
		first, second, third := New("menus", "a", client), New("menus", "b", client), New("menus", "c", client)
		g.Expect(first.Claim(ctx, ownerWrite(ctx, g, client, "a"))).To(Succeed())
		left := []recorder.WorkerLease{{Worker: "w1", Remaining: 6 * time.Second}}
		g.Expect(first.Release(ctx, key, left)).To(Succeed())
		g.Expect(second.Claim(ctx, ownerWrite(ctx, g, client, "b"))).To(Succeed())
		g.Expect(second.Released).To(BeTrue())
		g.Expect(second.WorkerLeases).To(Equal(left))
		g.Expect(second.Previous.Workers).To(Equal([]string{"w1"}))
		time.Sleep(4 * time.Second) // the second owner's lease expires
		g.Expect(third.Claim(ctx, ownerWrite(ctx, g, client, "c"))).To(Succeed())
		g.Expect(third.Released).To(BeFalse())
		g.Expect(third.Previous.Workers).To(Equal([]string{"w1"}))
	})
}

// Commit must check the conditions of the caller's transaction besides the fence.
func TestMoveKeepsItsOwnConditions(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		f := claim(ctx, g, a, "a")
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("1"), nil)).To(Succeed())
		_, err := f.Commit(ctx, storer.Transaction{If: []storer.Condition{{Key: "k"}}, Put: put("2")})
		g.Expect(err).To(MatchError(ErrConditionFailed))
		g.Expect(valueOf(ctx, g, a)).To(Equal("1"))
		revision, err := f.Commit(ctx, storer.Transaction{If: []storer.Condition{{Key: "other"}}, Put: put("3")})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(valueOf(ctx, g, a)).To(Equal("3"))
		g.Expect(store.Items("k")[0].Revision).To(Equal(revision))
	})
}

// A restarted daemon must not wait for the lease of its earlier process to expire.
func TestFormerLifeIsReplacedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx := t.Context()
		a := store.Client("a")
		g.Expect(New("menus", "a", a).Claim(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
		g.Expect(New("menus", "a", a).Claim(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
	})
}

func TestClaimEndsWithItsContext(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		a := store.Client("a")
		write := ownerWrite(t.Context(), g, a, "a")
		a.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(New("menus", "a", a).Claim(ctx, write)).NotTo(Succeed())
	})
}

// silentStore applies the first transaction but never responds to it.
type silentStore struct {
	*faker.Client
	applied bool
}

func (s *silentStore) Commit(ctx context.Context, tx storer.Transaction) (int64, error) {
	revision, err := s.Client.Commit(ctx, tx)
	if !s.applied {
		s.applied = true
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return revision, err
}

// A write must be retried although the response to its first attempt never comes.
func TestAnswerThatNeverComes(t *testing.T) {
	inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		a := store.Client("a")
		f := claim(ctx, g, a, "a")
		f.store = &silentStore{Client: a}
		began := time.Now()
		g.Expect(f.Write(ctx, recorder.WorkerList{}, put("1"), nil)).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*attemptTimeout))
		g.Expect(valueOf(ctx, g, a)).To(Equal("1"))
	})
}

// lostReadStore loses the response to the first read of a key.
type lostReadStore struct {
	*faker.Client
	key  string
	lost bool
}

func (s *lostReadStore) Get(ctx context.Context, key string) (storer.Item, error) {
	if key == s.key && !s.lost {
		s.lost = true
		<-ctx.Done()
		return storer.Item{}, ctx.Err()
	}
	return s.Client.Get(ctx, key)
}

// TestClaimAfterALostRead guards against a shard that nobody owns for the whole time of a claim,
// because the response to one read was lost.
func TestClaimAfterALostRead(t *testing.T) {
	for _, key := range []string{recorder.FenceKey("menus"), recorder.OwnerKey("menus")} {
		t.Run(key, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g Gomega, store *faker.Store) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				a := store.Client("a")
				began := time.Now()
				g.Expect(New("menus", "a", &lostReadStore{Client: a, key: key}).Claim(ctx, ownerWrite(ctx, g, a, "a"))).To(Succeed())
				g.Expect(time.Since(began)).To(BeNumerically("<", 2*attemptTimeout))
			})
		})
	}
}
