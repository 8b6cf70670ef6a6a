package ranker

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRanker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ranker")
}
