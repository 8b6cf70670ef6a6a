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

// requestTimeout bounds one request to a daemon.
const requestTimeout = 15 * time.Second

// daemonError holds the fields of a daemon's error response that are shown.
type daemonError struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Field   string   `json:"field"`
	Verdict string   `json:"verdict"`
	Retry   string   `json:"retry"` // time to wait before a retry
	Details []string `json:"details"`
}

// Error lists the details and the retry time on lines of their own.
func (e *daemonError) Error() string {
	out := e.Code + ": "
	if e.Field != "" {
		out += e.Field + ": "
	}
	out += e.Message + " (" + e.Verdict + ")"
	for _, line := range e.Details {
		out += "\n  " + line
	}
	if e.Retry != "" {
		out += "\n  retry after " + e.Retry
	}
	return out
}

// send makes a request with body, if not nil, as JSON and decodes the response
// into response. Its errors carry the exit code of the command.
func send(ctx context.Context, method, url string, body, response any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return exitFailed(err)
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return exitUsage(err)
	}
	request.Header.Set("Content-Type", "application/json")
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return &exitError{code: ExitUnreachable, err: err}
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode >= 300 {
		return readError(httpResponse)
	}
	if err := json.NewDecoder(httpResponse.Body).Decode(response); err != nil {
		return &exitError{code: ExitUnreachable, err: fmt.Errorf("response truncated: %w", err)}
	}
	return nil
}

// readError returns the error for a response with an error status.
func readError(response *http.Response) error {
	var e daemonError
	if err := json.NewDecoder(response.Body).Decode(&e); err != nil || e.Code == "" {
		return exitFailed(fmt.Errorf("daemon answered %s", response.Status))
	}
	return exitFailed(&e)
}

// output prints value in the format that the format flag chooses: as JSON, or
// as text by means of printText.
func output[T any](cmd *cobra.Command, value T, printText func(io.Writer, T)) error {
	format, err := cmd.Flags().GetString("format")
	if err != nil {
		return exitUsage(err)
	}
	switch format {
	case "json":
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "text":
		printText(cmd.OutOrStdout(), value)
		return nil
	}
	return exitUsage(fmt.Errorf("--format must be text or json, is %q", format))
}

// addFormatFlag adds the flag that output reads.
func addFormatFlag(cmd *cobra.Command) {
	cmd.Flags().String("format", "text", "text or json")
}

// addDaemonFlag adds the flag for the address of a daemon's operator port.
func addDaemonFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "daemon", defaultOperators, operatorsUsage)
}
