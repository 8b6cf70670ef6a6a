package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

// requestTime bounds one request to a daemon.
const requestTime = 15 * time.Second

// refusal is the part of a daemon's failure answer that is shown.
type refusal struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Field   string   `json:"field"`
	Verdict string   `json:"verdict"`
	Retry   string   `json:"retry"`
	Details []string `json:"details"`
}

func (r *refusal) Error() string {
	out := r.Code + ": "
	if r.Field != "" {
		out += r.Field + ": "
	}
	out += r.Message + " (" + r.Verdict + ")"
	for _, line := range r.Details {
		out += "\n  " + line
	}
	if r.Retry != "" {
		out += "\n  come back in " + r.Retry
	}
	return out
}

// ask sends body, if any, as JSON and decodes the answer into answer.
func ask(ctx context.Context, method, url string, body, answer any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return failed(err)
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return misused(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &exitError{code: ExitUnreachable, err: err}
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return readRefusal(response)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return &exitError{code: ExitUnreachable, err: fmt.Errorf("answer cut short: %w", err)}
	}
	return nil
}

func readRefusal(response *http.Response) error {
	var r refusal
	if err := json.NewDecoder(response.Body).Decode(&r); err != nil || r.Code == "" {
		return failed(fmt.Errorf("daemon answered %s", response.Status))
	}
	return failed(&r)
}

// output prints value as JSON, or through text when the format is text.
func output[T any](cmd *cobra.Command, value T, text func(io.Writer, T)) error {
	format, err := cmd.Flags().GetString("format")
	if err != nil {
		return misused(err)
	}
	switch format {
	case "json":
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "text":
		text(cmd.OutOrStdout(), value)
		return nil
	}
	return misused(fmt.Errorf("--format must be text or json, is %q", format))
}

func addFormat(cmd *cobra.Command) {
	cmd.Flags().String("format", "text", "text or json")
}

// addDaemon adds the flag for the address of the operators' port.
func addDaemon(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "daemon", presetOperators, operatorsUsage)
}
