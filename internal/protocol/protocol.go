// Package protocol defines the wire types of the interfaces to users, workers, the cloud and
// the key-value store. The names that these use on the wire appear only here; the rest of the
// program uses the terms job, task, attempt, gang, lease, fencing token and spot machine.
package protocol

import "time"

// Paths and path elements of the HTTP interfaces.
const (
	PathJobs         = "/work"
	PathCancel       = "withdraw"
	PathHealth       = "/up"
	PathReport       = "/agent/beat"
	PathMetrics      = "/metrics"
	PathList         = "/jobs"
	PathGateway      = "/gateway"
	PathCommands     = "/do"
	PathMachineTypes = "/catalog"
	PathMachines     = "/rentals"
	PathRelease      = "/rentals/release"
	PathKV           = "/kv"
	PathTxn          = "/multi"
	PathLeases       = "/holds"
	PathRenew        = "renew"
	PathWatch        = "/changes"
	// JobPrefix is the prefix of every well-formed job ID.
	JobPrefix = "req-"
)

// MaxBody is the size in bytes of the largest request body that any interface accepts.
const MaxBody = 64 << 10

// Timeouts and delays of workers and users.
const (
	// ReportTimeout is how long a worker waits for the response to a report.
	ReportTimeout = 4 * time.Second
	// ReportRetryDelay is how long a worker pauses before it tries the next controller.
	ReportRetryDelay = time.Second
	// SubmitTimeout is how long a user waits for the response to a submission or a cancellation.
	SubmitTimeout = 5 * time.Second
	// PollTimeout is how long a user waits for the state of a job.
	PollTimeout = 2 * time.Second
)

// MaxRental and MaxRelease limit the number of machines in one request to the cloud.
const (
	MaxRental  = 50
	MaxRelease = 100
)

// Submission is a user's request to submit a job. Pointers distinguish a missing field from a
// zero value.
type Submission struct {
	ID          *string   `json:"uid"`
	Class       *string   `json:"leverClass"`
	Team        *string   `json:"crew"`
	Kind        *string   `json:"shape"`
	Priority    *string   `json:"urgency"`
	Tasks       *int64    `json:"pieces"`
	CPUs        *float64  `json:"vcpus"`
	GPUs        *float64  `json:"accelerators"`
	MemoryGB    *float64  `json:"memoryGb"`
	Image       *string   `json:"bundle"`
	ImageGB     *float64  `json:"pullGb"`
	Types       *[]string `json:"builds"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"samePlace"`
	Spread      *bool     `json:"spread"`
	Spot        *bool     `json:"loaners"`
	EstimateS   *float64  `json:"guessS"`
	CheckpointS *float64  `json:"markEveryS"`
	SaveS       *float64  `json:"markCostS"`
	DeadlineS   *float64  `json:"dueS"`
	Awaits      *[]string `json:"awaits,omitempty"`
}

// Job kinds on the wire.
const (
	KindArray   = "batch"
	KindGang    = "group"
	KindService = "service"
)

// Job states on the wire.
const (
	Queued    = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Priorities lists the priorities, the most urgent first.
var Priorities = []string{"critical", "urgent", "normal", "low"}

// JobState is the state of a job, as reported to users.
type JobState struct {
	ID      string `json:"uid"`
	State   string `json:"stance"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	// Awaits lists the dependencies: the jobs that must be done before this one starts. It holds
	// those that the responding controller knows.
	Awaits []string `json:"awaits,omitempty"`
}

// JobRow is a job in a JobList. Lists are for operators; users have no such request.
type JobRow struct {
	JobState
	Team     string `json:"crew"`
	Class    string `json:"leverClass"`
	Priority string `json:"urgency"`
	Tasks    int    `json:"pieces"`
}

// JobList is one page of the list of jobs that have not ended.
type JobList struct {
	Jobs []JobRow `json:"rows"`
	More bool     `json:"truncated"`
}

// MaxJobsPerPage is the maximum number of jobs on a page, which bounds the size of the response.
const MaxJobsPerPage = 200

// MaxDependencyBytesPerPage is the approximate limit in bytes for all dependency lists on a page.
const MaxDependencyBytesPerPage = MaxBody / 4

// Problem describes why a client's request failed.
type Problem struct {
	Error string `json:"error"`
}

// MaxTaskReportBytes returns an approximate upper bound for the size of a task's entry in a report.
func MaxTaskReportBytes(task string) int { return len(task) + 80 }

// Exited is the state of a task whose attempt has exited. Of the other task states, only Running
// matters to controllers.
const Exited = "exited"

// Reasons why an attempt exited. If it exited for any other reason, the task is restarted.
const (
	ExitDone        = "done"
	ExitStopped     = "stopped"
	ExitError       = "error"
	ExitNoCapacity  = "full"    // the machine has too little free capacity
	ExitBusy        = "busy"    // another attempt of the task has not exited on the machine
	ExitUnknownTask = "no_such" // the worker does not know the job or task
)

// TaskReport is the state of one task on a worker.
type TaskReport struct {
	Task       string `json:"piece"`
	Attempt    uint64 `json:"try"`
	State      string `json:"stance"`
	ExitReason string `json:"cause,omitempty"`
	Saved      bool   `json:"stored,omitempty"`
}

// Report is a worker's periodic message with the state of its machine and of its tasks.
type Report struct {
	Machine     string       `json:"hand"`
	Address     string       `json:"address"`
	Type        string       `json:"build"`
	Zone        string       `json:"yard"`
	Spot        bool         `json:"loaners"`
	WorkerEpoch uint64       `json:"shift"`
	Seq         uint64       `json:"tick"`
	Token       uint64       `json:"baton"`
	NoticeS     *float64     `json:"recallInS,omitempty"`
	Tasks       []TaskReport `json:"pieces"`
}

// Operations that a command can request.
const (
	OpStart  = "run"
	OpStop   = "halt"
	OpForget = "reap"
)

// Command is an instruction to a worker concerning one task.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// CommandBatch holds commands for a worker. It is the response to a report and, with WorkerEpoch
// set, the body of a delivery.
type CommandBatch struct {
	Token       uint64    `json:"baton"`
	WorkerEpoch uint64    `json:"shift,omitempty"`
	Commands    []Command `json:"calls"`
}

// Redirect instructs a worker to report to another controller.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"accelerators"`
	MemoryGB  float64  `json:"memoryGb"`
	CacheGB   float64  `json:"cacheGb"`
	FetchGBPS float64  `json:"pullGbPerS"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"startupS"`
	Zones     []string `json:"yards"`
}

// Catalog is the cloud's catalog of machine types.
type Catalog struct {
	Types []MachineType `json:"builds"`
}

// Rental is a request to the cloud for machines. The cloud treats requests with the same
// Request name as one.
type Rental struct {
	Request string `json:"hire"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"count"`
}

// MachineNames is both the response to a rental and the body of a release.
type MachineNames struct {
	Machines []string `json:"hands"`
}

// Machine states in the cloud's list.
const (
	Booting = "booting"
	Failed  = "failed"
)

// ListedMachine is an entry of the cloud's list of rented machines.
type ListedMachine struct {
	ID      string  `json:"uid"`
	Address string  `json:"address"`
	Type    string  `json:"build"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"loaners"`
	State   string  `json:"stance"`
	AgeS    float64 `json:"ageS"`
}

// MachineList is one page of the cloud's list of rented machines.
type MachineList struct {
	Machines []ListedMachine `json:"hands"`
	More     bool            `json:"truncated"`
}
