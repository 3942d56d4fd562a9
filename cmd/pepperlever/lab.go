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

// labFlags are the flags of the lab.
type labFlags struct {
	siteFile      string
	data          string
	images        string
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
		Use: "lab", Short: "Run a whole site on loopback, with stand-ins for all that is round the controllers", Args: cobra.NoArgs,
		Long: "Runs a whole site on this machine: controllers of this program, and stand-ins for the state service, the cloud,\n" +
			"its machines and the users' front door. For trying things out, not for work that matters.",
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	fl := cmd.Flags()
	fl.StringVar(&f.siteFile, "site", "", "the site's file (TOML); the defaults without one")
	fl.StringVar(&f.data, "data", "", "folder that keeps the state, and the tasks' output, between runs")
	fl.StringVar(&f.images, "images", "", "folder of images: a folder each, with an executable run")
	fl.StringVar(&f.jobFile, "job", "", "run the job of this file to its end, then stop the site")
	fl.BoolVar(&f.twoSites, "two-sites", false, "run two sites that hand jobs of class goes from the first to the second")
	fl.DurationVar(&f.linkDelay, "link", 0, "how long a message takes between the two sites")
	fl.BoolVar(&f.cutEveryStage, "cut-every-stage", false, "with two sites: cause every trouble at every message of a hand-off, count runs and answers, then stop")
	fl.StringVar(&f.onlyFaults, "only", "", "with --cut-every-stage: only troubles whose name holds this, such as killed or hanging")
	fl.BoolVar(&f.measure, "measure", false, "with two sites: measure hand-offs a second, added latency and recovery, then stop")
	fl.IntSliceVar(&f.inFlight, "in-flight", []int{10, 100, 1000}, "with --measure: how many jobs are behind a cut link")
	fl.BoolVar(&f.printConfig, "print-config", false, "print the site's file with all defaults, and stop")
	return cmd
}

func (f *labFlags) run(cmd *cobra.Command) error {
	cfg, err := f.loadSite()
	if err != nil {
		return err
	}
	if f.printConfig {
		text, err := cfg.Print()
		fmt.Fprint(cmd.OutOrStdout(), text)
		return err
	}
	if f.twoSites || f.cutEveryStage || f.measure {
		return f.runPair(cmd, cfg)
	}
	return f.runSite(cmd, cfg)
}

// loadSite reads the site's file, or gives the default site without one.
func (f *labFlags) loadSite() (*emulator.Config, error) {
	if f.siteFile != "" {
		return emulator.Load(f.siteFile)
	}
	cfg := emulator.Default()
	return &cfg, nil
}

// runSite runs one site until its job has ended or it is interrupted.
func (f *labFlags) runSite(cmd *cobra.Command, cfg *emulator.Config) error {
	site, err := emulator.Open(cfg, f.data, f.images)
	if err != nil {
		return err
	}
	defer site.State.Close()
	ctx, stop := context.WithCancel(cmd.Context())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return site.Run(ctx, launchController) })
	g.Go(func() error {
		if f.jobFile != "" {
			defer stop()
			return f.runJob(ctx, cmd, site)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "site is at %s; hand a job in with: pepperlever submit --to %[1]s --team %s --estimate-s 5 --wait\n",
			site.Front(), cfg.Teams[0].Name)
		<-ctx.Done()
		return nil
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runPair runs two sites, for what is asked of them or until it is interrupted.
func (f *labFlags) runPair(cmd *cobra.Command, cfg *emulator.Config) error {
	pair, err := emulator.OpenPair(cfg, f.data, f.images, f.linkDelay)
	if err != nil {
		return err
	}
	defer pair.Close()
	ctx, stop := context.WithCancel(cmd.Context())
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return pair.Run(ctx, launchController) })
	g.Go(func() error {
		defer stop()
		switch {
		case f.cutEveryStage:
			return pair.CutEveryStage(ctx, cmd.OutOrStdout(), f.onlyFaults)
		case f.measure:
			return pair.Measure(ctx, cmd.OutOrStdout(), f.inFlight)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "sites are at %s and %s; hand a job in that goes over with: pepperlever submit --to %[1]s --team %[3]s --class %[4]s --estimate-s 5 --wait\n",
			pair.Sites[0].Front(), pair.Sites[1].Front(), cfg.Teams[0].Name, emulator.RemoteClass)
		<-ctx.Done()
		return nil
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runJob hands a job in and follows it.
func (f *labFlags) runJob(ctx context.Context, cmd *cobra.Command, site *emulator.Site) error {
	j, err := client.LoadJob(f.jobFile)
	if err != nil {
		return err
	}
	if err := j.Fill(); err != nil {
		return err
	}
	c, err := client.New(site.Front())
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
	return printOutputs(cmd, site.Outputs(j.ID))
}

// printOutputs prints the first lines that the tasks of a job have written.
func printOutputs(cmd *cobra.Command, dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) == 0 {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "output of %d tasks is in %s; the first:\n", len(files), dir)
	raw, err := os.ReadFile(files[0])
	fmt.Fprint(cmd.OutOrStdout(), string(raw))
	return err
}

// launchController runs a controller as a process of its own until ctx ends. It is killed
// then, as a site has to bear that.
func launchController(ctx context.Context, settings, gateway string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, self, "--config", settings, "--gateway", gateway)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}
