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

// programRunner runs tasks as programs: an image is a folder with an executable "run".
type programRunner struct {
	site   *Site
	images string
}

// outputs is where the output of tasks is kept.
func outputs(dir string) string {
	if dir == "" {
		dir = filepath.Join(os.TempDir(), "pepperlever-lab")
	}
	return filepath.Join(dir, "outputs")
}

// Outputs is where the output of a job's tasks is kept.
func (s *Site) Outputs(job string) string { return filepath.Join(s.outputDir, job) }

func (p *programRunner) path(image string) string {
	return filepath.Join(p.images, filepath.Base(image), "run")
}

// Has tells whether an image is a program.
func (p *programRunner) Has(image string) bool {
	info, err := os.Stat(p.path(image))
	return err == nil && info.Mode()&0o111 != 0
}

// Start runs a task's program with its output in a file, and kills it when the
// task is stopped.
func (p *programRunner) Start(machine string, job *protocol.Submission, task string, attempt uint64, done func(ok bool)) func() {
	end := func(ok bool) {
		go func() { // the caller holds the site
			p.site.mu.Lock()
			defer p.site.mu.Unlock()
			done(ok)
		}()
	}
	out, err := p.createOutput(task, attempt)
	if err != nil {
		slog.Error("task output cannot be stored", "task", task, "error", err)
		end(false)
		return func() {}
	}
	cmd := p.command(machine, job, task, attempt, out)
	if err := cmd.Start(); err != nil {
		slog.Error("task program cannot be started", "task", task, "error", err)
		out.Close()
		end(false)
		return func() {}
	}
	go func() {
		err := cmd.Wait()
		out.Close()
		end(err == nil)
	}()
	return func() {
		if err := cmd.Process.Kill(); err != nil {
			slog.Debug("task program had already ended", "task", task, "error", err)
		}
	}
}

// createOutput makes the file that an attempt of a task writes its output to.
func (p *programRunner) createOutput(task string, attempt uint64) (*os.File, error) {
	id, index, _ := strings.Cut(task, "/")
	dir := p.site.Outputs(id)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.log", index, attempt)))
}

// command is the program of a task, which runs in the folder of its output and finds its
// task in the environment.
func (p *programRunner) command(machine string, job *protocol.Submission, task string, attempt uint64, out *os.File) *exec.Cmd {
	id, index, _ := strings.Cut(task, "/")
	run, err := filepath.Abs(p.path(*job.Image))
	if err != nil {
		run = p.path(*job.Image)
	}
	cmd := exec.Command(run)
	cmd.Dir = p.site.Outputs(id)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(),
		"PEPPERLEVER_JOB="+id,
		"PEPPERLEVER_TASK="+index,
		"PEPPERLEVER_MACHINE="+machine,
		fmt.Sprintf("PEPPERLEVER_ATTEMPT=%d", attempt),
		fmt.Sprintf("PEPPERLEVER_TASKS=%d", *job.Tasks))
	return cmd
}
