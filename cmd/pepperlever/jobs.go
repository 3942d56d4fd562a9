package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"pepperlever/client"
)

// Exit statuses of the commands on jobs. 2 is for what cannot be used, as
// everywhere.
const (
	exitCancelled   = 1
	exitRefused     = 3
	exitUnreachable = 4
	exitNotFound    = 5
)

// errCancelled tells that a job that was waited for has been cancelled.
var errCancelled = errors.New("job is cancelled")

// exitStatus tells the ends of a command apart.
func exitStatus(err error) int {
	var refused *client.RefusedError
	var unreachable *client.UnreachableError
	switch {
	case errors.Is(err, errCancelled):
		return exitCancelled
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.Is(err, client.ErrNotFound):
		return exitNotFound
	}
	return exitSettings
}

// jobFlags are what the commands on jobs share.
type jobFlags struct {
	to   []string
	json bool
}

func (f *jobFlags) add(cmd *cobra.Command) *cobra.Command {
	to := "127.0.0.1:8700"
	if env := os.Getenv("PEPPERLEVER_TO"); env != "" {
		to = env
	}
	cmd.Flags().StringSliceVar(&f.to, "to", []string{to}, "addresses of the site, tried in turn; PEPPERLEVER_TO names one too")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON for programs")
	return cmd
}

// printState prints a state, for people or for programs.
func (f *jobFlags) printState(w io.Writer, s client.State) error {
	if f.json {
		return json.NewEncoder(w).Encode(s)
	}
	_, err := fmt.Fprintln(w, stateLine(s))
	return err
}

func stateLine(s client.State) string {
	if s.State == client.Running {
		return fmt.Sprintf("%s %s: %d done, %d running", s.ID, s.State, s.DoneTasks, s.RunningTasks)
	}
	if len(s.Awaits) > 0 {
		return fmt.Sprintf("%s %s: awaits %s", s.ID, s.State, strings.Join(s.Awaits, " "))
	}
	return s.ID + " " + s.State
}

// waitForEnd waits for a job and prints its progress to standard error.
func (f *jobFlags) waitForEnd(cmd *cobra.Command, c *client.Client, id string) error {
	last := ""
	s, err := c.Wait(cmd.Context(), id, func(s client.State) {
		if text := stateLine(s); text != last && !s.Final() {
			last = text
			fmt.Fprintln(cmd.ErrOrStderr(), text)
		}
	})
	if err != nil {
		return err
	}
	if err := f.printState(cmd.OutOrStdout(), s); err != nil {
		return err
	}
	if s.State == client.Cancelled {
		return errCancelled
	}
	return nil
}

// jobCommand makes a command that does something with one job.
func jobCommand(use, short string, do func(f *jobFlags, cmd *cobra.Command, c *client.Client, id string) error) *cobra.Command {
	var f jobFlags
	return f.add(&cobra.Command{
		Use: use + " JOB", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := client.New(f.to...)
			if err != nil {
				return err
			}
			return do(&f, cmd, c, args[0])
		},
	})
}

// showStateOf prints the state that a call gives.
func showStateOf(call func(*client.Client, context.Context, string) (client.State, error)) func(*jobFlags, *cobra.Command, *client.Client, string) error {
	return func(f *jobFlags, cmd *cobra.Command, c *client.Client, id string) error {
		s, err := call(c, cmd.Context(), id)
		if err != nil {
			return err
		}
		return f.printState(cmd.OutOrStdout(), s)
	}
}

func jobCommands() []*cobra.Command {
	return []*cobra.Command{
		submitCommand(),
		jobCommand("status", "Tell the state of a job", showStateOf((*client.Client).Status)),
		jobCommand("cancel", "Withdraw a job", showStateOf((*client.Client).Cancel)),
		jobCommand("wait", "Follow a job to its end", (*jobFlags).waitForEnd),
		listCommand(),
	}
}

// submitCommand hands a job in that a file or flags describe.
func submitCommand() *cobra.Command {
	var f jobFlags
	var flags client.Job
	var wait bool
	cmd := f.add(&cobra.Command{
		Use: "submit [FILE]", Short: "Hand in a job, described by a file (TOML, or JSON) or by flags", Args: cobra.MaximumNArgs(1),
		Long: "Hands in a job and prints its state. The file's keys are the flags' names with _ for -; flags go before the file.\n" +
			"The exit status is 0 when the job is accepted (with --wait: done), 1 when it was cancelled, 2 when something\n" +
			"cannot be used, 3 when the job is refused, 4 when no controller gives a clear answer.",
		RunE: func(cmd *cobra.Command, args []string) error {
			j, err := describedJob(cmd, flags, args)
			if err != nil {
				return err
			}
			c, err := client.New(f.to...)
			if err != nil {
				return err
			}
			s, err := c.Submit(cmd.Context(), j)
			switch {
			case err != nil:
				return fmt.Errorf("%s: %w", j.ID, err)
			case wait:
				return f.waitForEnd(cmd, c, j.ID)
			}
			return f.printState(cmd.OutOrStdout(), s)
		},
	})
	jobFields(cmd.Flags(), &flags)
	cmd.Flags().BoolVar(&wait, "wait", false, "follow the job to its end")
	return cmd
}

// jobFields makes a flag for each field of a job.
func jobFields(fl *pflag.FlagSet, j *client.Job) {
	fl.StringVar(&j.ID, "id", "", "the job's id, req-...; drawn when empty")
	fl.StringVar(&j.Team, "team", "", "the team whose guarantee and limit apply")
	fl.StringVar(&j.Class, "class", "", "the class that aims are stated for")
	fl.StringVar(&j.Kind, "kind", "", "array, gang or service")
	fl.StringVar(&j.Priority, "priority", "", "critical, urgent, normal or low")
	fl.IntVar(&j.Tasks, "tasks", 0, "how many tasks")
	fl.Float64Var(&j.CPUs, "cpus", 0, "CPUs of a task")
	fl.Float64Var(&j.GPUs, "gpus", 0, "GPUs of a task")
	fl.Float64Var(&j.MemoryGB, "memory-gb", 0, "memory of a task")
	fl.StringVar(&j.Image, "image", "", "the image that tasks need")
	fl.Float64Var(&j.ImageGB, "image-gb", 0, "its size")
	fl.StringSliceVar(&j.Types, "types", nil, "allowed machine types")
	fl.StringVar(&j.Zone, "zone", "", "the only allowed zone")
	fl.BoolVar(&j.OneZone, "one-zone", false, "all tasks in one zone")
	fl.BoolVar(&j.Spread, "spread", false, "at most half of the tasks in one zone")
	fl.BoolVar(&j.Spot, "spot", false, "may run on machines that can be taken back")
	fl.Float64Var(&j.EstimateS, "estimate-s", 0, "guessed seconds that a task runs")
	fl.Float64Var(&j.DeadlineS, "deadline-s", 0, "seconds until the job should be done")
	fl.StringSliceVar(&j.Awaits, "awaits", nil, "jobs that have to be done before this one begins")
	fl.Float64Var(&j.CheckpointS, "checkpoint-s", 0, "seconds of progress after which a task saves")
	fl.Float64Var(&j.SaveS, "save-s", 0, "seconds that saving takes")
}

// describedJob is the job of the file, with the flags that were given in its place.
func describedJob(cmd *cobra.Command, flags client.Job, args []string) (client.Job, error) {
	if len(args) == 0 {
		return flags, flags.Fill()
	}
	j, err := client.LoadJob(args[0])
	if err != nil {
		return j, err
	}
	given := pflag.NewFlagSet("", pflag.ContinueOnError)
	merged := client.Job{}
	jobFields(given, &merged)
	merged = j
	cmd.Flags().Visit(func(set *pflag.Flag) {
		if to := given.Lookup(set.Name); to != nil && err == nil {
			err = to.Value.Set(strings.Trim(set.Value.String(), "[]"))
		}
	})
	if err != nil {
		return j, err
	}
	return merged, merged.Fill()
}

// listCommand lists the jobs that have not ended.
func listCommand() *cobra.Command {
	var f jobFlags
	return f.add(&cobra.Command{
		Use: "jobs", Short: "List the jobs that have not ended", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := client.New(f.to...)
			if err != nil {
				return err
			}
			jobs, err := c.Jobs(cmd.Context())
			if err != nil {
				return err
			}
			if f.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(jobs)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "JOB\tTEAM\tCLASS\tPRIORITY\tSTATE\tTASKS\tDONE\tRUNNING\tAWAITS")
			for _, j := range jobs {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Team, j.Class, j.Priority, j.State, j.Tasks, j.Done, j.Running, strings.Join(j.Awaits, " "))
			}
			return w.Flush()
		},
	})
}
