package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// jobSpec is a submission.
type jobSpec struct {
	UID          string   `json:"uid"`
	LeverClass   string   `json:"leverClass"`
	Crew         string   `json:"crew"`
	Shape        string   `json:"shape"`
	Urgency      string   `json:"urgency"`
	Pieces       int      `json:"pieces"`
	VCPUs        float64  `json:"vcpus"`
	Accelerators float64  `json:"accelerators"`
	MemoryGB     float64  `json:"memoryGb"`
	Bundle       string   `json:"bundle"`
	PullGB       float64  `json:"pullGb"`
	Builds       []string `json:"builds"`
	Yard         *string  `json:"yard"`
	SamePlace    bool     `json:"samePlace"`
	Spread       bool     `json:"spread"`
	Loaners      bool     `json:"loaners"`
	GuessS       float64  `json:"guessS"`
	MarkEveryS   float64  `json:"markEveryS"`
	MarkCostS    float64  `json:"markCostS"`
	DueS         *float64 `json:"dueS"`
	Awaits       []string `json:"awaits,omitempty"`
}

type team struct {
	name      string
	cpus, max float64
}

// node is one controller process.
type node struct {
	name, zone, user, peer, state, settings string
	cmd                                     *exec.Cmd
	exited                                  chan struct{}
	killed                                  bool
}

// Site is a small deployment on loopback: the controllers and the stand-ins around them.
type Site struct {
	mu      sync.Mutex
	start   time.Time
	record  *os.File
	dir     string
	program []string
	nodes   []*node
	state   *State
	cloud   *Cloud
	workers map[string]*Worker
	jobs    map[string]*jobSpec
	links   map[[2]string]*link // by sender and receiver
	teams   []team
	reportS float64
	leaseS  float64
	cancelS float64

	users *http.Client

	// what is seen
	told     map[string]string // the last final state that a user was told, by job
	toldAt   map[string]time.Time
	doneAt   map[string]map[string]bool
	running  map[string]map[string]string // running tasks by team: task and attempt to machine
	onNow    map[string]string            // task to machine
	starts   int
	started  map[string]bool
	gangs    map[string][]gangTask // tasks that wait, by job and attempt
	broken   map[string]int        // rule to count
	peakCPUs map[string]float64
	trouble  bool
}

func (s *Site) rec(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(s.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
	if os.Getenv("ECHO") != "" {
		fmt.Println(line)
	}
}

// fatal ends a case that couldn't run.
func (s *Site) fatal(format string, args ...any) {
	s.rec("CAN'T RUN: "+format, args...)
	fmt.Println("can't run:", fmt.Sprintf(format, args...))
	s.stop()
	os.Exit(2)
}

// breaks records that a rule was broken. The caller holds no lock of the site.
func (s *Site) breaks(rule, format string, args ...any) {
	s.mu.Lock()
	s.broken[rule]++
	n := s.broken[rule]
	s.mu.Unlock()
	if n <= 20 {
		s.rec("BROKEN "+rule+": "+format, args...)
	}
}

func listen() net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Println("can't run:", err)
		os.Exit(2)
	}
	return ln
}

// reserved holds the listeners that keep the addresses of controllers free until they start.
var reserved = map[string]net.Listener{}

// freeAddress returns an address for a controller, and keeps it free until the controller starts. Its
// port is below those that the system gives to outgoing connections, so that it stays free while the
// controller is away.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 11000+rand.Intn(19000))
		if ln, err := net.Listen("tcp4", address); err == nil {
			reserved[address] = ln
			return address
		}
	}
	fmt.Println("can't run: no free port")
	os.Exit(2)
	return ""
}

// releaseAddress lets a controller use its address.
func releaseAddress(address string) {
	if ln := reserved[address]; ln != nil {
		ln.Close()
		delete(reserved, address)
	}
}

type siteConfig struct {
	zones                    []string
	teams                    []team
	reportS, leaseS, cancelS float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS, lagS, bootS    float64
	types                    []*machineType
	cpu, memoryMB            float64
	maxConnections           int
	next                     string // the section of the limits to come
}

// jadran is the voicemail deployment of the BRIEF.
func jadran() siteConfig {
	zones := []string{"osijek-kat", "rijeka-soba", "split-podrum", "zagreb-ormar"}
	return siteConfig{zones: zones,
		teams:   []team{{"lingvisti", 64, 112}, {"dezurni", 64, 192}, {"clanska-sluzba", 64, 192}, {"zdravstvo", 56, 112}, {"lucki-stol", 64, 192}, {"racunovodstvo", 24, 64}},
		reportS: 3, leaseS: 26, cancelS: 51, rps: 150, writeRPS: 40, valueKB: 8, txnOps: 16, cloudRPS: 8, lagS: 8, bootS: 2,
		types: []*machineType{
			{Name: "mala-kutija", CPUs: 4, MemoryGB: 8, CacheGB: 40, PullGBPerS: 1, Hourly: 0.2, LowPrice: 0.07, StartupS: 40, Yards: zones, places: map[bool]int{false: 4, true: 4}},
			{Name: "velika-pec", CPUs: 32, MemoryGB: 256, CacheGB: 100, PullGBPerS: 1, Hourly: 2.3, LowPrice: 0.92, StartupS: 30, Yards: zones, places: map[bool]int{false: 0, true: 0}},
		},
		cpu: 0.24, memoryMB: 234, maxConnections: 2000}
}

// kelani is the build farm of the BRIEF, with the limits of kit/change to come.
func kelani() siteConfig {
	zones := []string{"galle-rack", "colombo-hall", "kandy-room"}
	cfg := siteConfig{zones: zones, reportS: 1.5, leaseS: 12, cancelS: 32, rps: 200, writeRPS: 20, valueKB: 4, txnOps: 8, cloudRPS: 2, lagS: 10, bootS: 2,
		types: []*machineType{
			{Name: "sixteen-builder", CPUs: 16, MemoryGB: 64, CacheGB: 50, PullGBPerS: 1, Hourly: 0.97, LowPrice: 0.38, StartupS: 30, Yards: zones, places: map[bool]int{false: 12, true: 12}},
			{Name: "sixty-four-forge", CPUs: 64, MemoryGB: 128, CacheGB: 70, PullGBPerS: 0.4, Hourly: 3.67, LowPrice: 1.36, StartupS: 20, Yards: zones, places: map[bool]int{false: 0, true: 0}},
		},
		cpu: 0.18, memoryMB: 98, maxConnections: 1000,
		next: "[params.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4\n\n"}
	for n := range 6 {
		cfg.teams = append(cfg.teams, team{name: fmt.Sprintf("oncall-crew-%d", n)})
	}
	return cfg
}

// theSite is the site of this process, for an end from outside.
var theSite *Site

// newSite starts the stand-ins and the controllers of a site.
func newSite(cfg siteConfig, nodes int) *Site {
	s := &Site{start: time.Now(), workers: map[string]*Worker{}, jobs: map[string]*jobSpec{}, links: map[[2]string]*link{}, told: map[string]string{}, toldAt: map[string]time.Time{}, doneAt: map[string]map[string]bool{},
		running: map[string]map[string]string{}, onNow: map[string]string{}, started: map[string]bool{}, gangs: map[string][]gangTask{}, broken: map[string]int{}, peakCPUs: map[string]float64{},
		teams: cfg.teams, reportS: cfg.reportS, leaseS: cfg.leaseS, cancelS: cfg.cancelS, trouble: os.Getenv("TROUBLE") != "0",
		users: &http.Client{Timeout: 5 * time.Second}}
	var err error
	if s.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println("can't run:", err)
		os.Exit(2)
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		s.fatal("%v", err)
	}
	theSite = s
	s.program = runCommand()
	s.state = newState(cfg.rps, cfg.writeRPS, cfg.valueKB, cfg.txnOps)
	s.state.rec = s.rec
	s.cloud = newCloud(s, cfg.types, cfg.bootS, cfg.lagS, cfg.cloudRPS)
	cloudLn := listen()
	go http.Serve(cloudLn, s.cloud)
	order := []string{"split-podrum", "rijeka-soba", "zagreb-ormar"}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("hand-%d", i), zone: order[i%len(order)], user: freeAddress(), peer: freeAddress()}
		ln := listen()
		n.state = ln.Addr().String()
		go http.Serve(ln, s.state.handler(n.name))
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		for _, o := range s.nodes {
			if o != n {
				s.links[[2]string{n.name, o.name}] = newLink(o.peer)
			}
		}
	}
	for _, n := range s.nodes {
		n.settings = filepath.Join(s.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(s.settingsOf(cfg, n, cloudLn.Addr().String())), 0o600); err != nil {
			s.fatal("%v", err)
		}
	}
	for _, n := range s.nodes {
		s.launch(n)
	}
	return s
}

// runCommand reads the start command of the deploy file.
func runCommand() []string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		fmt.Println("can't run:", err)
		os.Exit(2)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	fmt.Println("can't run: no start command in the deploy file")
	os.Exit(2)
	return nil
}

func (s *Site) settingsOf(cfg siteConfig, n *node, cloud string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\ndomain = %q\nbind = %q\npeer_listen = %q\n\n", n.name, n.zone, n.user, n.peer)
	for _, o := range s.nodes {
		if o != n {
			fmt.Fprintf(&b, "[[others]]\nnode = %q\ndomain = %q\naddress = %q\n\n", o.name, o.zone, s.links[[2]string{n.name, o.name}].address)
		}
	}
	zones, _ := json.Marshal(cfg.zones)
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n\n[params]\nnodes = %d\nzones = %s\nskew_ms = 250.0\n\n", cloud, n.state, len(s.nodes), zones)
	for _, t := range cfg.teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.name, t.cpus, t.max)
	}
	fmt.Fprintf(&b, "[[params.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.96\n\n")
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n\n", cfg.reportS, cfg.leaseS, cfg.cancelS)
	fmt.Fprintf(&b, "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", cfg.rps, cfg.writeRPS, cfg.valueKB, cfg.txnOps)
	fmt.Fprintf(&b, "%s[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[params.machine_limits]\ncpu = %.2f\nmemory_mb = %.1f\nmax_connections = %d\n", cfg.next, cfg.cloudRPS, cfg.lagS, cfg.cpu, cfg.memoryMB, cfg.maxConnections)
	return b.String()
}

// launch starts a controller.
func (s *Site) launch(n *node) {
	logFile, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.fatal("%v", err)
	}
	cmd := exec.Command(s.program[0], append(append([]string{}, s.program[1:]...), n.settings)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+envOr("NODE_LOG", "info"))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	releaseAddress(n.user)
	releaseAddress(n.peer)
	if err := cmd.Start(); err != nil {
		s.fatal("controller: %v", err)
	}
	logFile.Close()
	exited := make(chan struct{})
	s.mu.Lock()
	n.cmd, n.exited, n.killed = cmd, exited, false
	s.mu.Unlock()
	s.rec("controller %s started", n.name)
	go func() {
		err := cmd.Wait()
		s.mu.Lock()
		killed := n.killed
		s.mu.Unlock()
		if !killed {
			s.rec("controller %s ended by itself: %v", n.name, err)
		}
		close(exited)
	}()
}

func envOr(name, other string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return other
}

// kill ends a controller without a signal that it could handle.
func (s *Site) kill(n *node) {
	s.mu.Lock()
	n.killed = true
	cmd, exited := n.cmd, n.exited
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-exited
	s.rec("controller %s killed", n.name)
}

// stop ends all processes and removes the temporary folder.
func (s *Site) stop() {
	for _, n := range s.nodes {
		if n.cmd != nil {
			s.kill(n)
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

// finish reports the outcome for one rule and ends the test.
func (s *Site) finish(rule string) {
	s.mu.Lock()
	for r, n := range s.broken {
		s.rec("rule %s broken %d times", r, n)
	}
	n, starts := s.broken[rule], s.starts
	s.mu.Unlock()
	s.rec("tasks started: %d", starts)
	s.stop()
	if n > 0 {
		fmt.Printf("rule %s was broken (%d times)\n", rule, n)
		os.Exit(1)
	}
	fmt.Printf("rule %s held\n", rule)
	os.Exit(0)
}

// awaitUp waits until a controller is healthy by the load balancer's rule: two probes answered one
// after another, a second apart.
func (s *Site) awaitUp(n *node, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	ok := 0
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Second) {
		if status, _ := post(client, n.user, "/up", nil); status == 200 {
			if ok++; ok == 2 {
				return true
			}
		} else {
			ok = 0
		}
	}
	return false
}

func (s *Site) jobOf(id string) *jobSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// stance is the answer about a job.
type stance struct {
	Stance  string
	Done    int
	Running int
}

// submit submits a job, as a user does: again after any answer that isn't definite, for a minute.
// Refused connections move on to the next controller, as the load balancer does.
func (s *Site) submit(j *jobSpec, first int) bool {
	s.mu.Lock()
	s.jobs[j.UID] = j // users upload the description
	s.mu.Unlock()
	for i, until := first, time.Now().Add(time.Minute); time.Now().Before(until); i++ {
		n := s.nodes[i%len(s.nodes)]
		status, _ := post(s.users, n.user, "/work", j)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			s.rec("submit %s at %s: %d", j.UID, n.name, status)
			return false
		}
		time.Sleep(time.Second)
	}
	s.rec("submit %s: no definite answer", j.UID)
	return false
}

// withdraw cancels a job and returns the definite answer, or "".
func (s *Site) withdraw(id string, first int) string {
	s.rec("user: POST /work/%s/withdraw", id)
	for i, until := first, time.Now().Add(time.Minute); time.Now().Before(until); i++ {
		n := s.nodes[i%len(s.nodes)]
		status, body := post(s.users, n.user, "/work/"+id+"/withdraw", struct{}{})
		if status == 200 {
			var in stance
			json.Unmarshal(body, &in)
			s.rec("user: %s answers %s is %q", n.name, id, in.Stance)
			s.see(n, id, in)
			return in.Stance
		}
		time.Sleep(time.Second)
	}
	return ""
}

// poll asks one controller about a job.
func (s *Site) poll(id string, n *node) (int, stance) {
	client := &http.Client{Timeout: 2 * time.Second}
	status, body := post(client, n.user, "/work/"+id, nil)
	var in stance
	if status == 200 {
		json.Unmarshal(body, &in)
		s.see(n, id, in)
	}
	return status, in
}

// see checks an answer about a job against earlier ones and against what ran.
func (s *Site) see(n *node, id string, in stance) {
	s.mu.Lock()
	j, told, done := s.jobs[id], s.told[id], len(s.doneAt[id])
	if in.Stance == "done" || in.Stance == "cancelled" {
		if told == "" {
			s.told[id], s.toldAt[id] = in.Stance, time.Now()
		}
	}
	s.mu.Unlock()
	if j == nil {
		s.breaks("invented", "%s answers 200 about %s, which nobody submitted", n.name, id)
		return
	}
	if told != "" && told != in.Stance {
		s.breaks("went_back", "%s was called %q; now %s calls it %q", id, told, n.name, in.Stance)
	}
	if in.Stance == "done" && done < j.Pieces {
		s.breaks("not_done", "%s calls %s done; %d of its %d tasks completed", n.name, id, done, j.Pieces)
	}
}

// taskStarted is called when a task is on its machine: it has its image.
func (s *Site) taskStarted(w *Worker, t *task) {
	s.mu.Lock()
	s.starts++
	s.started[t.job.UID] = true
	s.rec("run: %s try %d on %s", t.Piece, t.Try, w.r.Hand)
	other, on := s.onNow[t.Piece]
	s.onNow[t.Piece] = w.r.Hand
	crew := t.job.Crew
	if s.running[crew] == nil {
		s.running[crew] = map[string]string{}
	}
	s.running[crew][t.Piece+"."+fmt.Sprint(t.Try)+"@"+w.r.Hand] = t.job.UID
	cpus := 0.0
	for _, id := range s.running[crew] {
		cpus += s.jobs[id].VCPUs
	}
	s.peakCPUs[crew] = max(s.peakCPUs[crew], cpus)
	limit := 0.0
	for _, tm := range s.teams {
		if tm.name == crew {
			limit = tm.max
		}
	}
	var early []string
	for _, id := range t.job.Awaits {
		if a := s.jobs[id]; a == nil || len(s.doneAt[id]) < a.Pieces {
			early = append(early, id)
		}
	}
	s.mu.Unlock()
	if on {
		s.breaks("ran_twice", "%s starts on %s while it is on %s", t.Piece, w.r.Hand, other)
	}
	if limit > 0 && cpus > limit+1e-6 {
		s.breaks("quota", "tasks of %s use %.0f CPUs, its limit is %.0f, when %s starts on %s", crew, cpus, limit, t.Piece, w.r.Hand)
	}
	if len(early) > 0 {
		s.breaks("too_early", "%s starts on %s; %v isn't done", t.Piece, w.r.Hand, early)
	}
}

// checkCancelled checks that no task of a job is on a machine more than cancelS after its user was
// told that it is cancelled.
func (s *Site) checkCancelled(id string) {
	s.mu.Lock()
	at, told := s.toldAt[id], s.told[id] == "cancelled"
	var on []string
	for _, tasks := range s.running {
		for key, job := range tasks {
			if job == id {
				on = append(on, key)
			}
		}
	}
	s.mu.Unlock()
	if since := time.Since(at); told && since.Seconds() > s.cancelS && len(on) > 0 {
		sort.Strings(on)
		s.breaks("ran_cancelled", "%.1f s after the user was told that %s is cancelled, on machines: %v", since.Seconds(), id, on)
	}
}

// taskEnded is called when an attempt exits, is killed or its machine is gone.
func (s *Site) taskEnded(w *Worker, t *task, cause string, wasOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec("end: %s try %d on %s: %s", t.Piece, t.Try, w.r.Hand, cause)
	if !wasOn {
		return
	}
	if s.onNow[t.Piece] == w.r.Hand {
		delete(s.onNow, t.Piece)
	}
	delete(s.running[t.job.Crew], t.Piece+"."+fmt.Sprint(t.Try)+"@"+w.r.Hand)
	if cause == "done" {
		if s.doneAt[t.job.UID] == nil {
			s.doneAt[t.job.UID] = map[string]bool{}
		}
		s.doneAt[t.job.UID][t.Piece] = true
	}
}
