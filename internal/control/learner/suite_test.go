package learner

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLearner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "learner")
}
