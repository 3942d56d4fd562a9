// Command pepperlever schedules jobs onto rented machines.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"pepperlever/internal/daemon"
	"pepperlever/internal/settings"
)

// version is the release that this source belongs to.
const version = "0.1.0"

// exitSettings is the status after settings that cannot be used.
const exitSettings = 2

func main() {
	setLogger()
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "pepperlever:", err)
		os.Exit(exitSettings)
	}
}

// setLogger sends log lines to standard error as far as LOG_LEVEL says.
func setLogger() {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

func command() *cobra.Command {
	var config string
	root := &cobra.Command{
		Use:           "pepperlever --config FILE",
		Short:         "A cluster scheduler with long-term fairness between teams",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return cmd.Help()
			}
			return serve(config)
		},
	}
	root.PersistentFlags().StringVar(&config, "config", "", "the settings file (TOML)")
	root.AddCommand(
		&cobra.Command{
			Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { cmd.Println("pepperlever", version) },
		},
		&cobra.Command{
			Use: "check FILE", Short: "Check a settings file", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := settings.Load(args[0]); err != nil {
					return err
				}
				cmd.Println("settings are good")
				return nil
			},
		},
	)
	return root
}

// serve runs the daemon until it is told to stop. An end that is not asked for
// is an error.
func serve(config string) error {
	cfg, err := settings.Load(config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = daemon.Run(ctx, cfg, settings.DefaultPolicy())
	if ctx.Err() != nil {
		return nil
	}
	return err
}
