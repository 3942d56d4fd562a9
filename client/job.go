package client

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"math/big"
	"os"
	"strings"

	"pepperlever/internal/protocol"
	"pepperlever/internal/strictconfig"
)

// Kinds of jobs.
const (
	// Array is independent tasks, each of which runs to its end.
	Array = "array"
	// Gang is tasks that all run at the same time or not at all.
	Gang = "gang"
	// Service is tasks that run until the job is cancelled.
	Service = "service"
)

// Job describes a job. Zero values of what has a default are replaced by Fill.
type Job struct {
	// ID makes the job one job however often it is submitted; empty: Fill draws one.
	ID    string `toml:"id" json:"id"`
	Class string `toml:"class" json:"class"`
	Team  string `toml:"team" json:"team"`
	// Kind is Array (default), Gang or Service.
	Kind string `toml:"kind" json:"kind"`
	// Priority is critical, urgent, normal (default) or low.
	Priority string `toml:"priority" json:"priority"`
	// Tasks is how many tasks there are, 1 by default.
	Tasks int `toml:"tasks" json:"tasks"`
	// CPUs, GPUs and MemoryGB are what each task takes of its machine; 1 CPU and
	// 1 GB by default.
	CPUs     float64 `toml:"cpus" json:"cpus"`
	GPUs     float64 `toml:"gpus" json:"gpus"`
	MemoryGB float64 `toml:"memory_gb" json:"memory_gb"`
	// Image is what a machine must have before a task can start, of ImageGB.
	Image   string  `toml:"image" json:"image"`
	ImageGB float64 `toml:"image_gb" json:"image_gb"`
	// Types are the allowed machine types, empty for any; Zone the only allowed
	// zone, empty for any.
	Types []string `toml:"types" json:"types"`
	Zone  string   `toml:"zone" json:"zone"`
	// OneZone puts all tasks into one zone, Spread at most half of them.
	OneZone bool `toml:"one_zone" json:"one_zone"`
	Spread  bool `toml:"spread" json:"spread"`
	// Spot allows machines that may be taken back at any moment.
	Spot bool `toml:"spot" json:"spot"`
	// EstimateS is the guessed run time of a task in seconds, DeadlineS when the
	// job should be complete, from its submission; 0: no deadline.
	EstimateS float64 `toml:"estimate_s" json:"estimate_s"`
	DeadlineS float64 `toml:"deadline_s" json:"deadline_s"`
	// Awaits names jobs that have to be done before any task of this one starts. Where one
	// of them is cancelled, so is this one.
	Awaits []string `toml:"awaits" json:"awaits"`
	// CheckpointS is after how much progress a task saves by itself, 0: never;
	// SaveS how long it takes to save when it is stopped.
	CheckpointS float64 `toml:"checkpoint_s" json:"checkpoint_s"`
	SaveS       float64 `toml:"save_s" json:"save_s"`
}

// LoadJob reads a job from a TOML file, or a JSON one when its name ends in .json.
// Unknown keys are errors.
func LoadJob(path string) (Job, error) {
	var j Job
	if !strings.HasSuffix(path, ".json") {
		err := strictconfig.Load(path, &j)
		return j, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return j, err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return j, fmt.Errorf("%s: %w", path, err)
	}
	return j, nil
}

// Fill replaces zero values by defaults, and draws an id where there is none.
func (j *Job) Fill() error {
	setText := func(v *string, to string) {
		if *v == "" {
			*v = to
		}
	}
	setText(&j.Kind, Array)
	setText(&j.Priority, "normal")
	setText(&j.Class, "default")
	setText(&j.Image, "none")
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	if j.CPUs == 0 && j.GPUs == 0 {
		j.CPUs = 1
	}
	if j.MemoryGB == 0 {
		j.MemoryGB = 1
	}
	if j.ID == "" {
		n, err := rand.Int(rand.Reader, big.NewInt(1e12))
		if err != nil {
			return err
		}
		j.ID = fmt.Sprintf("%s%012d", protocol.JobPrefix, n)
	}
	return nil
}

// kinds are the names of kinds on the wire.
var kinds = map[string]string{Array: protocol.KindArray, Gang: protocol.KindGang, Service: protocol.KindService}

// submission is the submission. A kind that is unknown goes as it is, and is refused.
func (j *Job) submission() protocol.Submission {
	kind, known := kinds[j.Kind]
	if !known {
		kind = j.Kind
	}
	tasks := int64(j.Tasks)
	out := protocol.Submission{ID: &j.ID, Class: &j.Class, Team: &j.Team, Kind: &kind, Priority: &j.Priority, Tasks: &tasks,
		CPUs: &j.CPUs, GPUs: &j.GPUs, MemoryGB: &j.MemoryGB, Image: &j.Image, ImageGB: &j.ImageGB,
		OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot,
		EstimateS: &j.EstimateS, CheckpointS: &j.CheckpointS, SaveS: &j.SaveS}
	if len(j.Types) > 0 {
		out.Types = &j.Types
	}
	if j.Zone != "" {
		out.Zone = &j.Zone
	}
	if j.DeadlineS > 0 {
		out.DeadlineS = &j.DeadlineS
	}
	if len(j.Awaits) > 0 {
		out.Awaits = &j.Awaits
	}
	return out
}
