package accountant

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAccountant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accountant")
}
