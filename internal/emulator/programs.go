package emulator

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"pepperlever/internal/protocol"
)

// programRunner runs tasks as programs. An image is a directory that contains an executable
// named "run".
type programRunner struct {
	site      *Site
	imagesDir string
}

// outputRootOf returns the directory for the output of all tasks of a site whose data
// directory is dir.
func outputRootOf(dir string) string {
	if dir == "" {
		dir = filepath.Join(os.TempDir(), "pepperlever-lab")
	}
	return filepath.Join(dir, "outputs")
}

// OutputDir returns the directory that holds the output of a job's tasks.
func (s *Site) OutputDir(job string) string { return filepath.Join(s.outputRoot, job) }

// programPath returns the path of an image's executable. It ignores directories in the
// image's name.
func (p *programRunner) programPath(image string) string {
	return filepath.Join(p.imagesDir, filepath.Base(image), "run")
}

// HasProgram reports whether an image has an executable program.
func (p *programRunner) HasProgram(image string) bool {
	info, err := os.Stat(p.programPath(image))
	return err == nil && info.Mode()&0o111 != 0
}

// Start runs a task's program with its output written to a file, and returns a function that
// kills the program.
func (p *programRunner) Start(machine string, job *protocol.Submission, task string, attempt uint64, done func(ok bool)) func() {
	reportEnd := func(ok bool) {
		go func() { // asynchronously, because the caller holds the site's lock
			p.site.mu.Lock()
			defer p.site.mu.Unlock()
			done(ok)
		}()
	}
	output, err := p.createOutputFile(task, attempt)
	if err != nil {
		slog.Error("task output cannot be stored", "task", task, "error", err)
		reportEnd(false)
		return func() {}
	}
	cmd := p.newCommand(machine, job, task, attempt, output)
	if err := cmd.Start(); err != nil {
		slog.Error("task program cannot be started", "task", task, "error", err)
		output.Close()
		reportEnd(false)
		return func() {}
	}
	go func() {
		err := cmd.Wait()
		output.Close()
		reportEnd(err == nil)
	}()
	return func() {
		if err := cmd.Process.Kill(); err != nil {
			slog.Debug("task program had already exited", "task", task, "error", err)
		}
	}
}

// createOutputFile creates the output file of an attempt of a task.
func (p *programRunner) createOutputFile(task string, attempt uint64) (*os.File, error) {
	jobID, index, _ := strings.Cut(task, "/")
	dir := p.site.OutputDir(jobID)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.log", index, attempt)))
}

// newCommand returns the command that runs a task's program. It runs in the job's output
// directory, and environment variables identify the task.
func (p *programRunner) newCommand(machine string, job *protocol.Submission, task string, attempt uint64, output *os.File) *exec.Cmd {
	jobID, index, _ := strings.Cut(task, "/")
	program, err := filepath.Abs(p.programPath(*job.Image))
	if err != nil {
		program = p.programPath(*job.Image)
	}
	cmd := exec.Command(program)
	cmd.Dir = p.site.OutputDir(jobID)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = append(os.Environ(),
		"PEPPERLEVER_JOB="+jobID,
		"PEPPERLEVER_TASK="+index,
		"PEPPERLEVER_MACHINE="+machine,
		fmt.Sprintf("PEPPERLEVER_ATTEMPT=%d", attempt),
		fmt.Sprintf("PEPPERLEVER_TASKS=%d", *job.Tasks))
	return cmd
}
