package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"pepperlever/client"
	"pepperlever/internal/emulator"
)

// labFlags holds the flags of the lab command.
type labFlags struct {
	siteFile      string
	dataDir       string
	imagesDir     string
	jobFile       string
	printConfig   bool
	twoSites      bool
	linkDelay     time.Duration
	cutEveryStage bool
	onlyFaults    string
	measure       bool
	inFlight      []int
}

func labCommand() *cobra.Command {
	var f labFlags
	cmd := &cobra.Command{
		Use: "lab", Short: "Run a complete site on loopback, with emulators for everything around the controllers", Args: cobra.NoArgs,
		Long: "Runs a complete site on this machine: controllers of this program, and emulators of the state service, the cloud,\n" +
			"its machines and the users' frontend. For experiments only, not for production.",
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.siteFile, "site", "", "the site's configuration file (TOML); defaults apply if empty")
	flags.StringVar(&f.dataDir, "data", "", "directory that keeps the state and the tasks' output between runs")
	flags.StringVar(&f.imagesDir, "images", "", "directory of images, each a directory with an executable named run")
	flags.StringVar(&f.jobFile, "job", "", "run the job in this file to its end, then stop the site")
	flags.BoolVar(&f.twoSites, "two-sites", false, "run two sites that hand off jobs of class \"goes\" from the first to the second")
	flags.DurationVar(&f.linkDelay, "link", 0, "latency of messages between the two sites")
	flags.BoolVar(&f.cutEveryStage, "cut-every-stage", false, "with two sites: inject every fault at every message of a hand-off, count runs and final answers, then stop")
	flags.StringVar(&f.onlyFaults, "only", "", "with --cut-every-stage: only faults whose name contains this, such as killed or hanging")
	flags.BoolVar(&f.measure, "measure", false, "with two sites: measure hand-offs per second, added latency and recovery, then stop")
	flags.IntSliceVar(&f.inFlight, "in-flight", []int{10, 100, 1000}, "with --measure: numbers of jobs in flight when the link is cut")
	flags.BoolVar(&f.printConfig, "print-config", false, "print the site's configuration with all defaults, then exit")
	return cmd
}

func (f *labFlags) run(cmd *cobra.Command) error {
	cfg, err := f.loadConfig()
	if err != nil {
		return err
	}
	if f.printConfig {
		text, err := cfg.EncodeTOML()
		fmt.Fprint(cmd.OutOrStdout(), text)
		return err
	}
	if f.twoSites || f.cutEveryStage || f.measure {
		return f.runPair(cmd, cfg)
	}
	return f.runSite(cmd, cfg)
}

// loadConfig loads the site's configuration file, or returns the default without one.
func (f *labFlags) loadConfig() (*emulator.Config, error) {
	if f.siteFile != "" {
		return emulator.Load(f.siteFile)
	}
	cfg := emulator.Default()
	return &cfg, nil
}

// runSite runs one site until the job in the job file, if there is one, has ended or the command is
// interrupted.
func (f *labFlags) runSite(cmd *cobra.Command, cfg *emulator.Config) error {
	site, err := emulator.Open(cfg, f.dataDir, f.imagesDir)
	if err != nil {
		return err
	}
	defer site.State.Close()
	ctx, stop := context.WithCancel(cmd.Context())
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return site.Run(ctx, launchController) })
	group.Go(func() error {
		if f.jobFile != "" {
			defer stop()
			return f.runJob(ctx, cmd, site)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "site is at %s; submit a job with: pepperlever submit --to %[1]s --team %s --estimate-s 5 --wait\n",
			site.FrontendAddress(), cfg.Teams[0].Name)
		<-ctx.Done()
		return nil
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runPair runs two sites until the requested test, if there is one, has ended or the command is
// interrupted.
func (f *labFlags) runPair(cmd *cobra.Command, cfg *emulator.Config) error {
	pair, err := emulator.OpenPair(cfg, f.dataDir, f.imagesDir, f.linkDelay)
	if err != nil {
		return err
	}
	defer pair.Close()
	ctx, stop := context.WithCancel(cmd.Context())
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return pair.Run(ctx, launchController) })
	group.Go(func() error {
		defer stop()
		switch {
		case f.cutEveryStage:
			return pair.RunFaultCases(ctx, cmd.OutOrStdout(), f.onlyFaults)
		case f.measure:
			return pair.Measure(ctx, cmd.OutOrStdout(), f.inFlight)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "sites are at %s and %s; submit a job that is handed off with: pepperlever submit --to %[1]s --team %[3]s --class %[4]s --estimate-s 5 --wait\n",
			pair.Sites[0].FrontendAddress(), pair.Sites[1].FrontendAddress(), cfg.Teams[0].Name, emulator.RemoteClass)
		<-ctx.Done()
		return nil
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runJob submits the job in the job file, waits for its end and prints its output.
func (f *labFlags) runJob(ctx context.Context, cmd *cobra.Command, site *emulator.Site) error {
	j, err := client.LoadJob(f.jobFile)
	if err != nil {
		return err
	}
	if err := j.Fill(); err != nil {
		return err
	}
	c, err := client.New(site.FrontendAddress())
	if err != nil {
		return err
	}
	if _, err := c.Submit(ctx, j); err != nil {
		return err
	}
	cmd.SetContext(ctx)
	if err := (&jobFlags{}).waitForEnd(cmd, c, j.ID); err != nil {
		return err
	}
	return printOutputs(cmd, site.OutputDir(j.ID))
}

// printOutputs prints the number of output files in dir, which the tasks of a job have written,
// and the content of the first one.
func printOutputs(cmd *cobra.Command, dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) == 0 {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "output of %d tasks is in %s; the first file:\n", len(files), dir)
	raw, err := os.ReadFile(files[0])
	fmt.Fprint(cmd.OutOrStdout(), string(raw))
	return err
}

// launchController runs a controller as a separate process until ctx ends. The process is
// then killed without a shutdown, which a site has to tolerate.
func launchController(ctx context.Context, settingsFile, federationFile string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, executable, "--config", settingsFile, "--gateway", federationFile)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}
