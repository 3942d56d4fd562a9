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

// Exit statuses of the job commands, besides exitInvalidInput.
const (
	exitCancelled   = 1
	exitRefused     = 3
	exitUnreachable = 4
	exitNotFound    = 5
)

// errCancelled reports that a job was cancelled while the command waited for its end.
var errCancelled = errors.New("job is cancelled")

// exitStatus returns the exit status for a command's error.
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
	return exitInvalidInput
}

// jobFlags holds the flags that the job commands share.
type jobFlags struct {
	to   []string
	json bool
}

// addFlags adds the shared flags to a command and returns it.
func (f *jobFlags) addFlags(cmd *cobra.Command) *cobra.Command {
	to := "127.0.0.1:8700"
	if env := os.Getenv("PEPPERLEVER_TO"); env != "" {
		to = env
	}
	cmd.Flags().StringSliceVar(&f.to, "to", []string{to}, "addresses of the site, tried in turn; PEPPERLEVER_TO sets the default")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

// printState prints a job's state as text or JSON.
func (f *jobFlags) printState(w io.Writer, s client.State) error {
	if f.json {
		return json.NewEncoder(w).Encode(s)
	}
	_, err := fmt.Fprintln(w, stateLine(s))
	return err
}

// stateLine formats a job's state as one line of text.
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

// jobCommand returns a command that calls run with the id of one job.
func jobCommand(use, short string, run func(f *jobFlags, cmd *cobra.Command, c *client.Client, id string) error) *cobra.Command {
	var f jobFlags
	return f.addFlags(&cobra.Command{
		Use: use + " JOB", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := client.New(f.to...)
			if err != nil {
				return err
			}
			return run(&f, cmd, c, args[0])
		},
	})
}

// printStateOf returns a function for jobCommand that prints the state returned by call.
func printStateOf(call func(*client.Client, context.Context, string) (client.State, error)) func(*jobFlags, *cobra.Command, *client.Client, string) error {
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
		jobCommand("status", "Show the state of a job", printStateOf((*client.Client).Status)),
		jobCommand("cancel", "Cancel a job", printStateOf((*client.Client).Cancel)),
		jobCommand("wait", "Wait for a job to end", (*jobFlags).waitForEnd),
		listCommand(),
	}
}

// submitCommand returns the command that submits a job described by a file or by flags.
func submitCommand() *cobra.Command {
	var f jobFlags
	var flags client.Job
	var wait bool
	cmd := f.addFlags(&cobra.Command{
		Use: "submit [FILE]", Short: "Submit a job described by a file (TOML or JSON) or by flags", Args: cobra.MaximumNArgs(1),
		Long: "Submits a job and prints its state. The file's keys are the flags' names with _ for -; flags override the file.\n" +
			"The exit status is 0 when the job is accepted (with --wait: done), 1 when it was cancelled, 2 when the input is\n" +
			"invalid, 3 when the job is refused, 4 when no controller gives a definite response.",
		RunE: func(cmd *cobra.Command, args []string) error {
			j, err := jobFromArgs(cmd, flags, args)
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
	addJobFlags(cmd.Flags(), &flags)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for the job to end")
	return cmd
}

// addJobFlags adds a flag for each field of a job.
func addJobFlags(flags *pflag.FlagSet, job *client.Job) {
	flags.StringVar(&job.ID, "id", "", "the job's id, req-...; generated when empty")
	flags.StringVar(&job.Team, "team", "", "the team whose guarantee and limit apply")
	flags.StringVar(&job.Class, "class", "", "the class to which objectives apply")
	flags.StringVar(&job.Kind, "kind", "", "array, gang or service")
	flags.StringVar(&job.Priority, "priority", "", "critical, urgent, normal or low")
	flags.IntVar(&job.Tasks, "tasks", 0, "number of tasks")
	flags.Float64Var(&job.CPUs, "cpus", 0, "CPUs per task")
	flags.Float64Var(&job.GPUs, "gpus", 0, "GPUs per task")
	flags.Float64Var(&job.MemoryGB, "memory-gb", 0, "memory per task in GB")
	flags.StringVar(&job.Image, "image", "", "the image that tasks need")
	flags.Float64Var(&job.ImageGB, "image-gb", 0, "size of the image in GB")
	flags.StringSliceVar(&job.Types, "types", nil, "allowed machine types")
	flags.StringVar(&job.Zone, "zone", "", "the only allowed zone")
	flags.BoolVar(&job.OneZone, "one-zone", false, "run all tasks in one zone")
	flags.BoolVar(&job.Spread, "spread", false, "run at most half of the tasks in one zone")
	flags.BoolVar(&job.Spot, "spot", false, "allow spot machines, which the cloud can reclaim")
	flags.Float64Var(&job.EstimateS, "estimate-s", 0, "estimated run time of a task in seconds")
	flags.Float64Var(&job.DeadlineS, "deadline-s", 0, "seconds until the job should be done")
	flags.StringSliceVar(&job.Awaits, "awaits", nil, "jobs that have to be done before this one starts")
	flags.Float64Var(&job.CheckpointS, "checkpoint-s", 0, "seconds of progress between a task's checkpoints; 0 for none")
	flags.Float64Var(&job.SaveS, "save-s", 0, "seconds that a task needs to save when it is stopped")
}

// jobFromArgs returns the job described by the flags, or by the file with the given flags
// overriding it.
func jobFromArgs(cmd *cobra.Command, flags client.Job, args []string) (client.Job, error) {
	if len(args) == 0 {
		return flags, flags.Fill()
	}
	job, err := client.LoadJob(args[0])
	if err != nil {
		return job, err
	}
	overrides := pflag.NewFlagSet("", pflag.ContinueOnError)
	merged := client.Job{}
	addJobFlags(overrides, &merged)
	merged = job // only now, since adding a flag resets its field
	cmd.Flags().Visit(func(changed *pflag.Flag) {
		if target := overrides.Lookup(changed.Name); target != nil && err == nil {
			// A list is formatted as [a,b], but set as a,b.
			err = target.Value.Set(strings.Trim(changed.Value.String(), "[]"))
		}
	})
	if err != nil {
		return job, err
	}
	return merged, merged.Fill()
}

// listCommand returns the command that lists the jobs that have not ended.
func listCommand() *cobra.Command {
	var f jobFlags
	return f.addFlags(&cobra.Command{
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
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(table, "JOB\tTEAM\tCLASS\tPRIORITY\tSTATE\tTASKS\tDONE\tRUNNING\tAWAITS")
			for _, job := range jobs {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.ID, job.Team, job.Class, job.Priority, job.State, job.Tasks, job.Done, job.Running, strings.Join(job.Awaits, " "))
			}
			return table.Flush()
		},
	})
}
