package messenger_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMessenger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Messenger")
}
