package hoster_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dotterelcart.dev/dotterelcart/internal/control/describer"
	"dotterelcart.dev/dotterelcart/internal/platform/runner"
	"dotterelcart.dev/dotterelcart/internal/standin/auditor"
	"dotterelcart.dev/dotterelcart/internal/standin/hoster"
	"dotterelcart.dev/dotterelcart/internal/traffic/classifier"
)

var task = describer.TaskID{Job: "j", Index: 0}

func options() hoster.Options {
	return hoster.Typical("seq", "seq-bne", "menu-desk", 1)[0]
}

func start(epoch, sequence int64) runner.StartRequest {
	return runner.StartRequest{
		Task: task, Token: describer.Token{Epoch: epoch, Sequence: sequence}, Class: "render",
		Granted: describer.Resources{CPU: 32000, Memory: 1024},
		Lease:   10 * time.Second, RunTime: 4 * time.Second,
	}
}

func failure(_ bool, err error) error { return err }

// virtual runs body on a Agent in virtual time.
func virtual(t *testing.T, body func(g Gomega, m *hoster.Agent, a *auditor.Auditor)) {
	synctest.Test(t, func(t *testing.T) {
		a := auditor.New()
		m := hoster.NewAgent(options(), a)
		defer m.Kill()
		body(NewWithT(t), m, a)
	})
}

func TestCompletesOnce(t *testing.T) {
	virtual(t, func(g Gomega, m *hoster.Agent, a *auditor.Auditor) {
		g.Expect(failure(m.Start(start(1, 1)))).To(Succeed())
		g.Expect(failure(m.Start(start(1, 1)))).To(Succeed())
		time.Sleep(5 * time.Second)
		g.Expect(failure(m.Start(start(1, 1)))).To(Succeed())
		out, err := m.Sync(runner.SyncRequest{Epoch: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Finished).To(HaveExactElements(HaveField("OK", true)))
		out, _ = m.Sync(runner.SyncRequest{Epoch: 1, Ack: []runner.Run{out.Finished[0].Run}})
		g.Expect(out.Finished).To(BeEmpty())
		g.Expect(a.Report().Runs).To(Equal(1))
		g.Expect(a.Report().Finished).To(Equal(1))
	})
}

func TestLapsesWithCheckpointUnlessRenewed(t *testing.T) {
	virtual(t, func(g Gomega, m *hoster.Agent, a *auditor.Auditor) {
		s := start(1, 1)
		s.RunTime = time.Minute
		g.Expect(failure(m.Start(s))).To(Succeed())
		time.Sleep(9 * time.Second)
		id := runner.Run{Task: task, Token: s.Token}
		_, err := m.Sync(runner.SyncRequest{Epoch: 1, Lease: 10 * time.Second, Renew: []runner.Run{id}})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(9 * time.Second)
		g.Expect(m.Running()).To(Equal(1))
		time.Sleep(2 * time.Second)
		out, _ := m.Sync(runner.SyncRequest{Epoch: 1})
		g.Expect(out.Finished).To(HaveExactElements(And(HaveField("LeaseExpired", true), HaveField("Checkpoint", "19s"))))
		g.Expect(a.Report().Lapsed).To(Equal(1))
	})
}

func TestFencesOldEpochsAndTokens(t *testing.T) {
	virtual(t, func(g Gomega, m *hoster.Agent, a *auditor.Auditor) {
		_, err := m.Sync(runner.SyncRequest{Epoch: 2})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = m.Start(start(1, 9))
		g.Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
		_, err = m.Stop(runner.StopRequest{Task: task, Token: describer.Token{Epoch: 2, Sequence: 5}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(failure(m.Start(start(2, 5)))).NotTo(Succeed())
		g.Expect(failure(m.Start(start(2, 4)))).NotTo(Succeed())
		g.Expect(a.Report().Runs).To(BeZero())
		g.Expect(failure(m.Start(start(2, 6)))).To(Succeed())
	})
}

func TestResumesFromCheckpointAtTheThrottledSpeed(t *testing.T) {
	virtual(t, func(g Gomega, m *hoster.Agent, _ *auditor.Auditor) {
		s := start(1, 1)
		g.Expect(failure(m.Start(s))).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(m.Throttle(runner.ThrottleRequest{Task: task, Token: s.Token, CPU: 16000})).To(Succeed())
		time.Sleep(time.Second)
		out, err := m.Stop(runner.StopRequest{Task: task, Token: s.Token, Checkpoint: true})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Checkpoint).To(Equal("1.5s"))
		s = start(1, 2)
		s.Checkpoint = out.Checkpoint
		g.Expect(failure(m.Start(s))).To(Succeed())
		time.Sleep(2*time.Second + 400*time.Millisecond)
		g.Expect(m.Running()).To(Equal(1))
		time.Sleep(200 * time.Millisecond)
		g.Expect(m.Running()).To(BeZero())
	})
}

func TestPausedRunLapses(t *testing.T) {
	virtual(t, func(g Gomega, m *hoster.Agent, a *auditor.Auditor) {
		g.Expect(failure(m.Start(start(1, 1)))).To(Succeed())
		m.Pause(true)
		time.Sleep(9 * time.Second)
		g.Expect(m.Running()).To(Equal(1))
		time.Sleep(2 * time.Second)
		g.Expect(a.Report().Lapsed).To(Equal(1))
		m.Pause(false)
		g.Expect(a.Report().Finished).To(BeZero())
	})
}

func TestCountsViolations(t *testing.T) {
	virtual(t, func(g Gomega, m *hoster.Agent, a *auditor.Auditor) {
		other := hoster.NewAgent(options(), a)
		defer other.Kill()
		g.Expect(failure(m.Start(start(1, 1)))).To(Succeed())
		g.Expect(failure(other.Start(start(1, 1)))).To(Succeed())
		g.Expect(a.Report().Duplicated).To(Equal(1))
		big := start(1, 2)
		big.Task.Index, big.Granted.CPU = 1, 40000
		g.Expect(failure(m.Start(big))).To(Succeed())
		g.Expect(a.Report().Overfilled).To(Equal(1))
	})
}

var _ = Describe("Worker", func() {
	var (
		w *hoster.Worker
		a *auditor.Auditor
	)
	BeforeEach(func() {
		a = auditor.New()
		var err error
		w, err = hoster.New(options(), a)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { w.Close() })
	})
	call := func(c *http.Client, id, work string) (int, string, error) {
		r, _ := http.NewRequest(http.MethodPost, "http://"+w.Host.Address+"/", bytes.NewReader([]byte("menu")))
		r.Header.Set(hoster.HeaderRequest, id)
		r.Header.Set(hoster.HeaderWork, work)
		answer, err := c.Do(r)
		if err != nil {
			return 0, "", err
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return answer.StatusCode, string(body), err
	}
	fresh := func() *http.Client { return &http.Client{Transport: &http.Transport{}} }

	It("refuses a ninth request", func() {
		done := make(chan int, 8)
		for range 8 {
			go func() {
				status, _, _ := call(fresh(), "", "500ms")
				done <- status
			}()
		}
		Eventually(func() int { return a.Report().Requests }).Should(Equal(8))
		status, body, err := call(fresh(), "r", "0s")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("not-run"))
		Expect(a.Executions("r")).To(BeZero())
		for range 8 {
			Eventually(done).Should(Receive(Equal(http.StatusOK)))
		}
	})

	It("keeps open connections silent while new ones work", func() {
		old := fresh()
		old.Timeout = 200 * time.Millisecond
		_, body, err := call(old, "1", "0s")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("menu"))
		w.Silence()
		_, _, err = call(old, "2", "0s")
		Expect(err).To(HaveOccurred())
		Expect(a.Executions("2")).To(BeZero())
		_, _, err = call(fresh(), "3", "0s")
		Expect(err).NotTo(HaveOccurred())
	})

	It("cuts an answer after the execution and counts a repetition", func() {
		w.CutAnswers(1)
		_, _, err := call(fresh(), "1", "0s")
		Expect(err).To(HaveOccurred())
		Expect(a.Executions("1")).To(Equal(1))
		_, _, err = call(fresh(), "1", "0s")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Report().Repeated).To(Equal(1))
	})

	It("answers the worker interface, and forgets all when killed", func() {
		c := runner.New(fresh())
		ctx := context.Background()
		Expect(c.Start(ctx, w.Host.Control, start(1, 1))).To(Succeed())
		err := c.Start(ctx, w.Host.Control, start(0, 1))
		Expect(err).To(MatchError(runner.ErrFenced))
		w.LoseAnswers(1)
		_, err = c.Stop(ctx, w.Host.Control, runner.StopRequest{Task: task, Token: describer.Token{Epoch: 1, Sequence: 1}})
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.MayHaveRun))
		w.Kill()
		err = c.Start(ctx, w.Host.Control, start(1, 2))
		Expect(classifier.VerdictOf(err)).To(Equal(classifier.NotRun))
		Expect(w.Restart()).To(Succeed())
		Expect(c.Start(ctx, w.Host.Control, start(0, 1))).To(Succeed())
	})
})
