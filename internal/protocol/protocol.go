// Package protocol holds the wire types of every outside interface. Wire names
// appear here and nowhere else; the rest of the program speaks of jobs, tasks,
// attempts, gangs, leases, fencing tokens and spot machines.
package protocol

import "time"

// Paths of the interfaces.
const (
	PathJobs     = "/work"
	PathCancel   = "withdraw"
	PathHealth   = "/up"
	PathReport   = "/agent/beat"
	PathMetrics  = "/metrics"
	PathList     = "/jobs"
	PathGateway  = "/gateway"
	PathCommands = "/do"
	PathTypes    = "/catalog"
	PathMachines = "/rentals"
	PathRelease  = "/rentals/release"
	PathKV       = "/kv"
	PathTxn      = "/multi"
	PathLeases   = "/holds"
	PathRenew    = "renew"
	PathWatch    = "/changes"
	// JobPrefix starts every well-formed job id.
	JobPrefix = "req-"
)

// MaxBody is the largest request body any interface accepts.
const MaxBody = 64 << 10

// ReportTimeout is how long a worker waits for the answer to a report, and
// ReportPause for how long it pauses before it tries the next node.
const (
	ReportTimeout = 4 * time.Second
	ReportPause   = time.Second
	// PollTimeout is how long a user waits for the state of a job.
	PollTimeout = 2 * time.Second
)

// MaxRental and MaxRelease bound the machines of one request to the cloud.
const (
	MaxRental  = 50
	MaxRelease = 100
)

// Submission is a job as its user describes it. Pointers tell a missing field
// from a zero one.
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

// Priorities in falling order of urgency.
var Priorities = []string{"critical", "urgent", "normal", "low"}

// JobState answers users.
type JobState struct {
	ID      string `json:"uid"`
	State   string `json:"stance"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	// Awaits names the jobs that have to be done before this one begins, as far as the
	// controller that answers knows.
	Awaits []string `json:"awaits,omitempty"`
}

// JobRow is a job in a list, and JobList a page of them; the protocol of the users
// has none, this one is for operators.
type JobRow struct {
	JobState
	Team     string `json:"crew"`
	Class    string `json:"leverClass"`
	Priority string `json:"urgency"`
	Tasks    int    `json:"pieces"`
}

// JobList is one page of the jobs that have not ended.
type JobList struct {
	Jobs []JobRow `json:"rows"`
	More bool     `json:"truncated"`
}

// JobsPage is how many jobs a page has; it keeps the answer's line within bounds.
const JobsPage = 200

// PageAwaitsBytes is about how long the lists of awaited jobs of a page may be together.
const PageAwaitsBytes = MaxBody / 4

// Problem tells what was wrong with a request.
type Problem struct {
	Error string `json:"error"`
}

// TaskBytes is at most about how long a task's entry in a report is.
func TaskBytes(task string) int { return len(task) + 80 }

// Exited is the state of a task that has ended; Running is the other one that
// matters here.
const Exited = "exited"

// Reasons why a task exited. After all others it is simply started again.
const (
	WhyDone    = "done"
	WhyStopped = "stopped"
	WhyError   = "error"
	WhyNoRoom  = "full"
	WhyBusy    = "busy"
	WhyUnknown = "no_such"
)

// TaskReport is one task on a worker.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"stance"`
	Why     string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine string       `json:"hand"`
	Address string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recallInS,omitempty"`
	Tasks   []TaskReport `json:"pieces"`
}

// Operations of a command.
const (
	OpStart  = "run"
	OpStop   = "halt"
	OpForget = "reap"
)

// Command is one order to a worker.
type Command struct {
	Op      string   `json:"call"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// Orders is the answer to a report and, with Session, the body of a direct call.
type Orders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift,omitempty"`
	Commands []Command `json:"calls"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}

// MachineType is an entry of the cloud's catalogue.
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

// Catalogue lists the machine types.
type Catalogue struct {
	Types []MachineType `json:"builds"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `json:"hire"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"count"`
}

// MachineNames is both the answer to a rental and the body of a release.
type MachineNames struct {
	Machines []string `json:"hands"`
}

// Machine states in the cloud's list.
const (
	Booting = "booting"
	Failed  = "failed"
)

// ListedMachine is one row of the cloud's list.
type ListedMachine struct {
	ID      string  `json:"uid"`
	Address string  `json:"address"`
	Type    string  `json:"build"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"loaners"`
	State   string  `json:"stance"`
	AgeS    float64 `json:"ageS"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"hands"`
	More     bool            `json:"truncated"`
}
