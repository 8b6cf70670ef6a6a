package escalator

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEscalator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "escalator")
}
