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
	// Array is a job of independent tasks, each of which runs to completion.
	Array = "array"
	// Gang is a job whose tasks run all at the same time or not at all.
	Gang = "gang"
	// Service is a job whose tasks run until the job is cancelled.
	Service = "service"
)

// Job is the spec of a job. Fill replaces the zero values of fields that have a default.
type Job struct {
	// ID identifies the job, so that submitting it repeatedly has no further effect. If it is
	// empty, Fill generates one.
	ID    string `toml:"id" json:"id"`
	Class string `toml:"class" json:"class"`
	Team  string `toml:"team" json:"team"`
	// Kind is Array (default), Gang or Service.
	Kind string `toml:"kind" json:"kind"`
	// Priority is critical, urgent, normal (default) or low.
	Priority string `toml:"priority" json:"priority"`
	// Tasks is the number of tasks, 1 by default.
	Tasks int `toml:"tasks" json:"tasks"`
	// CPUs, GPUs and MemoryGB are the resources that each task reserves. The default is 1 CPU,
	// unless GPUs is set, and 1 GB.
	CPUs     float64 `toml:"cpus" json:"cpus"`
	GPUs     float64 `toml:"gpus" json:"gpus"`
	MemoryGB float64 `toml:"memory_gb" json:"memory_gb"`
	// Image is the image that a machine must fetch before a task can start. ImageGB is its size.
	Image   string  `toml:"image" json:"image"`
	ImageGB float64 `toml:"image_gb" json:"image_gb"`
	// Types lists the allowed machine types and Zone names the only allowed zone; empty allows
	// any.
	Types []string `toml:"types" json:"types"`
	Zone  string   `toml:"zone" json:"zone"`
	// OneZone places all tasks in one zone; Spread places at most half of them in any zone.
	OneZone bool `toml:"one_zone" json:"one_zone"`
	Spread  bool `toml:"spread" json:"spread"`
	// Spot allows spot machines, which the cloud can reclaim at any time.
	Spot bool `toml:"spot" json:"spot"`
	// EstimateS is the estimated run time of a task in seconds. DeadlineS is the number of
	// seconds after submission by which the job should be done, or 0 for no deadline.
	EstimateS float64 `toml:"estimate_s" json:"estimate_s"`
	DeadlineS float64 `toml:"deadline_s" json:"deadline_s"`
	// Awaits lists jobs that have to be done before any task of this one starts. If one of
	// them is cancelled, so is this one.
	Awaits []string `toml:"awaits" json:"awaits"`
	// CheckpointS is the number of seconds of progress between a task's checkpoints, or 0 if it
	// writes none. SaveS is how many seconds a task needs to save its state when it is stopped.
	CheckpointS float64 `toml:"checkpoint_s" json:"checkpoint_s"`
	SaveS       float64 `toml:"save_s" json:"save_s"`
}

// LoadJob reads a job from a TOML file, or from a JSON file if its name ends in .json. An
// unknown key is an error.
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

// Fill replaces zero values with defaults and generates an id if there is none.
func (j *Job) Fill() error {
	setDefault := func(field *string, value string) {
		if *field == "" {
			*field = value
		}
	}
	setDefault(&j.Kind, Array)
	setDefault(&j.Priority, "normal")
	setDefault(&j.Class, "default")
	setDefault(&j.Image, "none")
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

// wireKinds maps kinds to their names on the wire.
var wireKinds = map[string]string{Array: protocol.KindArray, Gang: protocol.KindGang, Service: protocol.KindService}

// submission returns the request that submits the job. An unknown kind is sent unchanged, so
// that the controller refuses it.
func (j *Job) submission() protocol.Submission {
	kind, known := wireKinds[j.Kind]
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
