package responder

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

func TestResponder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "responder")
}

func TestAcrossHandoverWaitsForAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		got, err := retryHandover(t.Context(), func() (int, error) {
			calls++
			if calls < 4 {
				return 0, unavailable(codeNotOwner, "shard a is owned elsewhere")
			}
			return 7, nil
		})
		if got != 7 || err != nil || calls != 4 {
			t.Fatalf("got %d, %v after %d calls", got, err, calls)
		}
	})
}

func TestAcrossHandoverGivesUpWithTheLastError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := retryHandover(t.Context(), func() (int, error) {
			return 0, unavailable(codeNoOwner, "shard a has no reachable owner")
		})
		if classifier.VerdictOf(err) != classifier.NotRun {
			t.Fatalf("verdict %s of %v", classifier.VerdictOf(err), err)
		}
	})
}

var _ = Describe("retryHandover", func() {
	DescribeTable("doesn't retry a request that may have run or was refused",
		func(failure *classifier.Error) {
			calls := 0
			_, err := retryHandover(context.Background(), func() (int, error) {
				calls++
				return 0, failure
			})
			Expect(err).To(BeIdenticalTo(failure))
			Expect(calls).To(Equal(1))
		},
		Entry("may have run", &classifier.Error{Verdict: classifier.MayHaveRun, Code: codeNotOwner}),
		Entry("refused", invalid("tasks", "must be at least 1")),
	)
})

var _ = Describe("configuration checks", func() {
	DescribeTable("name the field", func(c describer.Configuration, field string) {
		var e *classifier.Error
		Expect(errors.As(checkConfiguration(c), &e)).To(BeTrue())
		Expect(e.Field).To(Equal(field))
		Expect(e.Verdict).To(Equal(classifier.NotRun))
	},
		Entry("no shard", describer.Configuration{}, "shards"),
		Entry("a rack in two shards", describer.Configuration{Shards: []describer.Shard{
			{ID: "a", Domain: "d", Racks: []string{"r1"}}, {ID: "b", Domain: "d", Racks: []string{"r1"}},
		}}, "shards[1].racks"),
		Entry("a team without weight", describer.Configuration{
			Shards: []describer.Shard{{ID: "a", Domain: "d", Racks: []string{"r1"}}}, Teams: []describer.Team{{Name: "owners"}},
		}, "teams[0].weight"),
	)

	It("refuse to move a rack to another shard", func() {
		old := []describer.Shard{{ID: "a", Domain: "d", Racks: []string{"r1", "r2"}}}
		moved := []describer.Shard{{ID: "a", Domain: "d", Racks: []string{"r1"}}}
		Expect(checkShardsKept(old, moved)).NotTo(Succeed())
		grown := []describer.Shard{{ID: "a", Domain: "d", Racks: []string{"r1", "r2", "r3"}}}
		Expect(checkShardsKept(old, grown)).To(Succeed())
	})
})
