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

// version is the release version.
const version = "0.1.0"

// exitInvalidInput is the exit status for invalid settings, flags or files, and for every
// error that has no status of its own.
const exitInvalidInput = 2

func main() {
	configureLogging()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "pepperlever:", err)
		os.Exit(exitStatus(err))
	}
}

// configureLogging makes the default logger write to standard error at the level in LOG_LEVEL.
func configureLogging() {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

// filePaths holds the paths of the operator's files.
type filePaths struct{ config, policy, gateway string }

func rootCommand() *cobra.Command {
	var f filePaths
	root := &cobra.Command{
		Use:           "pepperlever --config FILE",
		Short:         "A cluster scheduler with long-term fairness between teams",
		Long:          "Runs one controller of a cluster scheduler until it is stopped.\nLogs go to standard error; LOG_LEVEL is error, info (default) or debug.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.config == "" {
				return cmd.Help()
			}
			return f.serve(cmd.Context())
		},
	}
	root.PersistentFlags().StringVar(&f.config, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&f.policy, "policy", os.Getenv("PEPPERLEVER_POLICY"),
		"the operator's script (Starlark); PEPPERLEVER_POLICY sets the default")
	root.PersistentFlags().StringVar(&f.gateway, "gateway", os.Getenv("PEPPERLEVER_GATEWAY"),
		"the federation configuration (TOML), which enables hand-offs between sites; PEPPERLEVER_GATEWAY sets the default")
	root.AddCommand(
		versionCommand(),
		checkCommand(&f),
	)
	root.AddCommand(jobCommands()...)
	root.AddCommand(labCommand())
	root.AddCommand(gatewayCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "pepperlever", version) },
	}
}

// checkCommand returns the command that validates the settings file and the operator's script as a
// controller would on startup. It does not read the federation configuration.
func checkCommand(f *filePaths) *cobra.Command {
	return &cobra.Command{
		Use: "check [FILE]", Short: "Check a settings file and the operator's script", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				f.config = args[0]
			}
			if _, _, err := f.load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
}

// load loads the settings and the operator's script.
func (f filePaths) load() (*settings.Settings, settings.Policy, error) {
	cfg, err := settings.Load(f.config)
	if err != nil {
		return nil, settings.Policy{}, err
	}
	policy, err := settings.LoadPolicy(f.policy, cfg)
	return cfg, policy, err
}

// serve runs the daemon until ctx ends. It returns an error if the daemon exits before that.
func (f filePaths) serve(ctx context.Context) error {
	cfg, policy, err := f.load()
	if err != nil {
		return err
	}
	err = daemon.Run(ctx, cfg, policy, f.gateway)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
