package loader_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelcart.dev/dotterelcart/internal/traffic/loader"
)

// settings returns the settings of testdata/desk.json.
func settings(t *testing.T) loader.Settings {
	t.Helper()
	data, err := os.ReadFile("testdata/desk.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := loader.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRun checks that every request is counted under one outcome, and that a stall
// shows in the latency of all requests that were due meanwhile.
func TestRun(t *testing.T) {
	var n atomic.Int64
	stalled := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch k := n.Add(1); {
		case k == 1:
			time.Sleep(200 * time.Millisecond)
			close(stalled)
		case k%10 == 0:
			w.Header().Set("Dotterel-Verdict", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case k%10 == 5:
			w.Write([]byte("half"))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		<-stalled
	}))
	defer server.Close()
	s := settings(t)
	s.Targets = []string{server.URL}
	s.Rate, s.Duration = 400, s.Duration/20
	report, err := loader.Run(context.Background(), loader.Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	var sum, delayed int64
	for _, r := range report.Kinds {
		sum += r.Answered + r.Late + r.Refused + r.Failed + r.Lost + r.Unsent
		for _, bar := range r.Latency.Distribution() {
			if bar.From >= 50_000 {
				delayed += bar.Count
			}
		}
	}
	if sum != n.Load() {
		t.Errorf("%d counted, %d sent", sum, n.Load())
	}
	if delayed < 20 {
		t.Errorf("a stall of 200 ms at 400/s shows in only %d requests", delayed)
	}
	if report.Kinds[0].Refused == 0 || report.Kinds[0].Lost == 0 {
		t.Errorf("refused %d lost %d", report.Kinds[0].Refused, report.Kinds[0].Lost)
	}
	if !strings.Contains(report.Table(), "minara") {
		t.Error(report.Table())
	}
	var plot bytes.Buffer
	if err := report.Plot(&plot); err != nil || !strings.Contains(plot.String(), "<svg") {
		t.Errorf("plot: %v", err)
	}
}

// TestSettingsNameTheField checks that the error for invalid settings names the
// field.
func TestSettingsNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		`{}`:                "targets",
		`{"targets":["x"]}`: "rate",
		`{"targets":["x"],"rate":1,"duration":"1s","mix":[{"tenant":"a","service":"b"}]}`: "mix[0].share",
	} {
		_, err := loader.Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
