package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"dotterelcart.dev/dotterelcart/internal/operator/parser"
	"dotterelcart.dev/dotterelcart/internal/operator/server"
)

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run the entry daemon with the settings in FILE",
		Long: `Run the entry daemon. The settings are checked in full before anything
starts. SIGTERM or SIGINT begins a planned shutdown: readiness fails, requests
in flight end, shards are released. A second signal stops the daemon at once.`,
		Example: "  dotterelcart serve entry.hujson",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := readSettings(args[0])
			if err != nil {
				return err
			}
			return serve(cmd.Context(), settings, newLogger(cmd.ErrOrStderr(), settings.Log.Level))
		},
	}
}

func readSettings(name string) (parser.Settings, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return parser.Settings{}, exitUsage(err)
	}
	settings, err := parser.Read(source)
	return settings, invalidFile(name, err)
}

// invalidFile formats parser.Errors with a line for each error and with the name of
// the file. It returns other errors, and nil, as they are.
func invalidFile(name string, err error) error {
	var list parser.Errors
	if !errors.As(err, &list) {
		return err
	}
	text := fmt.Sprintf("%d faults in %s", len(list), name)
	for _, e := range list {
		text += "\n" + name + ":" + e.String()
	}
	return exitUsage(errors.New(text))
}

// serve runs a daemon until a signal or the end of ctx, and shuts it down.
func serve(ctx context.Context, settings parser.Settings, log zerolog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	daemon, err := server.New(ctx, settings, log)
	if err != nil {
		return exitFailed(err)
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Traffic.DrainTimeout))
	defer cancel()
	go func() {
		<-signals
		log.Warn().Str("part", "serve").Msg("second signal received, stopping at once")
		cancel()
	}()
	aborted := daemon.Shutdown(shutdownCtx)
	if aborted > 0 {
		return exitFailed(fmt.Errorf("planned shutdown cut off %d requests in flight", aborted))
	}
	return nil
}

// newLogger returns a logger that writes JSON lines, or coloured text on a
// terminal. An unknown level counts as info.
func newLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	if file, ok := w.(*os.File); ok && isatty.IsTerminal(file.Fd()) {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger()
}
