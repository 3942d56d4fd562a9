package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pepperlever/internal/protocol"
)

// config is a small deployment.
type config struct {
	site                                           string
	controllers                                    int
	zones                                          []string
	teams                                          []team
	types                                          []*machineType
	reportS, leaseS, gangWaitS, gangPeerS, cancelS float64
	rps, writeRPS, valueKB                         float64
	txnOps                                         int
	cloudRPS, listLagS                             float64
	cpu, memoryMB                                  float64
	maxConnections                                 int
	restartS                                       float64
	// gateway, if set, returns further arguments of a controller.
	gateway func(node int) []string
}

type team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

func (c *config) machineType(name string) *machineType {
	for _, t := range c.types {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (c *config) limitOf(name string) float64 {
	for _, t := range c.teams {
		if t.Name == name && t.CPUsMax > 0 {
			return t.CPUsMax
		}
	}
	return 1e9
}

// jobSpec is a submission.
type jobSpec struct {
	UID        string   `json:"uid"`
	LeverClass string   `json:"leverClass"`
	Crew       string   `json:"crew"`
	Shape      string   `json:"shape"`
	Urgency    string   `json:"urgency"`
	Pieces     int64    `json:"pieces"`
	VCPUs      float64  `json:"vcpus"`
	Accel      float64  `json:"accelerators"`
	MemoryGB   float64  `json:"memoryGb"`
	Bundle     string   `json:"bundle"`
	PullGB     float64  `json:"pullGb"`
	Builds     []string `json:"builds"`
	Yard       *string  `json:"yard"`
	SamePlace  bool     `json:"samePlace"`
	Spread     bool     `json:"spread"`
	Loaners    bool     `json:"loaners"`
	GuessS     float64  `json:"guessS"`
	MarkEveryS float64  `json:"markEveryS"`
	MarkCostS  float64  `json:"markCostS"`
	DueS       *float64 `json:"dueS"`
}

// controller is one controller process.
type controller struct {
	index            int
	node, zone       string
	bind, peerListen string
	settings         string
	mu               sync.Mutex
	cmd              *exec.Cmd
	// ends counts the ends that the case did not cause.
	ends    int
	healthy atomic.Bool
	// stayDown keeps the controller from being started again.
	stayDown atomic.Bool
	killed   atomic.Bool
}

// world is a site with its controllers.
type world struct {
	ctx   context.Context
	stop  context.CancelFunc
	cfg   *config
	root  string
	dir   string
	rec   *recorder
	start time.Time
	state *stateService
	cloud *cloudService
	fleet *fleet
	ctrls []*controller
	links [][]*link

	mu   sync.Mutex
	jobs map[string]*jobSpec
	// errs holds why the case could not run.
	errs []error
	next atomic.Int64
	wg   sync.WaitGroup
}

func (w *world) now() time.Duration { return time.Since(w.start) }

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, fmt.Errorf(format, args...))
	w.rec.add("COULD NOT RUN: "+format, args...)
}

func (w *world) job(id string) *jobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// openWorld opens the stand-ins of a site. Controllers start with startControllers.
func openWorld(parent context.Context, cfg *config, root, dir string, rec *recorder) (*world, error) {
	w := &world{cfg: cfg, root: root, dir: dir, rec: rec, start: time.Now(), jobs: map[string]*jobSpec{}}
	w.ctx, w.stop = context.WithCancel(parent)
	w.state, w.cloud = newStateService(w), newCloudService(w)
	for i := range cfg.controllers {
		c := &controller{index: i, node: fmt.Sprintf("hand-%d", i), zone: cfg.zones[i%len(cfg.zones)]}
		c.bind, c.peerListen = freeAddress(), freeAddress()
		c.settings = filepath.Join(dir, cfg.site+"-"+c.node+".toml")
		w.ctrls = append(w.ctrls, c)
	}
	w.fleet = newFleet(w)
	for i, from := range w.ctrls {
		row := make([]*link, len(w.ctrls))
		others := []map[string]any{}
		for j, to := range w.ctrls {
			if i == j {
				continue
			}
			l, err := newLink(w.ctx, to.peerListen)
			if err != nil {
				return nil, err
			}
			row[j] = l
			others = append(others, map[string]any{"node": to.node, "domain": to.zone, "address": l.address})
		}
		w.links = append(w.links, row)
		state, err := w.serve(w.state.handler(i))
		if err != nil {
			return nil, err
		}
		cloud, err := w.serve(w.cloud.handler(i))
		if err != nil {
			return nil, err
		}
		settings := map[string]any{"node": from.node, "domain": from.zone, "bind": from.bind, "peer_listen": from.peerListen,
			"others": others, "external": map[string]any{"cloud": cloud, "state": state},
			"params": map[string]any{"nodes": cfg.controllers, "zones": cfg.zones, "skew_ms": 5.0, "teams": cfg.teams,
				"workers":        map[string]any{"report_s": cfg.reportS, "lease_s": cfg.leaseS, "gang_wait_s": cfg.gangWaitS, "gang_peer_s": cfg.gangPeerS, "cancel_s": cfg.cancelS},
				"state":          map[string]any{"rps": cfg.rps, "write_rps": cfg.writeRPS, "value_kb": cfg.valueKB, "txn_ops": cfg.txnOps},
				"cloud":          map[string]any{"rps": cfg.cloudRPS, "list_lag_s": cfg.listLagS},
				"machine_limits": map[string]any{"cpu": cfg.cpu, "memory_mb": cfg.memoryMB, "max_connections": cfg.maxConnections}}}
		raw, err := toml.Marshal(settings)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(from.settings, raw, 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// serve serves HTTP on a free loopback address.
func (w *world) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", freePort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	context.AfterFunc(w.ctx, func() { server.Close() })
	return ln.Addr().String(), nil
}

// runCommand returns the run command of the deploy file.
func (w *world) runCommand() ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return nil, err
	}
	return strings.Fields(deploy.Run), nil
}

// startControllers starts all controllers and waits until all are healthy.
func (w *world) startControllers() error {
	for _, c := range w.ctrls {
		w.wg.Add(1)
		go w.supervise(c)
	}
	go w.probe()
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if !slices.ContainsFunc(w.ctrls, func(c *controller) bool { return !c.healthy.Load() }) {
			w.rec.add("all controllers are healthy")
			return nil
		}
	}
	return errors.New("controllers did not become healthy")
}

// supervise runs a controller and starts it again after an end.
func (w *world) supervise(c *controller) {
	defer w.wg.Done()
	for w.ctx.Err() == nil {
		if c.stayDown.Load() {
			wait(w.ctx, 50*time.Millisecond)
			continue
		}
		command, err := w.runCommand()
		if err != nil {
			w.fail("deploy file: %v", err)
			return
		}
		args := command[1:]
		if w.cfg.gateway != nil {
			args = append(w.cfg.gateway(c.index), args...)
		}
		cmd := exec.Command(filepath.Join(w.root, command[0]), append(slices.Clone(args), c.settings)...)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
		log, err := os.OpenFile(filepath.Join(w.dir, w.cfg.site+"-"+c.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			w.fail("log: %v", err)
			return
		}
		cmd.Stderr, cmd.Dir = log, w.root
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
		started := make(chan error, 1)
		done := make(chan error, 1)
		go func() { // one thread starts and waits, because of Pdeathsig
			lockThread()
			err := cmd.Start()
			started <- err
			if err == nil {
				done <- cmd.Wait()
			}
		}()
		if err := <-started; err != nil {
			w.fail("controller does not start: %v", err)
			return
		}
		c.mu.Lock()
		c.cmd = cmd
		c.mu.Unlock()
		w.rec.add("%s %s started", w.cfg.site, c.node)
		select {
		case err := <-done:
			c.healthy.Store(false)
			if !c.killed.Swap(false) {
				c.ends++
				w.rec.add("%s ENDED BY ITSELF: %v", c.node, err)
			}
		case <-w.ctx.Done():
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
		log.Close()
		wait(w.ctx, time.Duration(w.cfg.restartS*float64(time.Second)))
	}
}

func logLevel() string {
	if level := os.Getenv("CASE_LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

func (c *controller) signal(sig os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(sig)
	}
}

// crash kills a controller, which the platform starts again.
func (w *world) crash(i int) {
	w.rec.add("TROUBLE: %s %s is killed", w.cfg.site, w.ctrls[i].node)
	w.ctrls[i].killed.Store(true)
	w.ctrls[i].signal(syscall.SIGKILL)
}

// probe asks each controller for its health, as the load balancer does.
func (w *world) probe() {
	client := &http.Client{Timeout: time.Second}
	for w.ctx.Err() == nil {
		for _, c := range w.ctrls {
			go func() {
				res, err := client.Get("http://" + c.bind + "/up")
				ok := err == nil && res.StatusCode == 200
				if err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					res.Body.Close()
				}
				c.healthy.Store(ok)
			}()
		}
		wait(w.ctx, 500*time.Millisecond)
	}
}

// pick returns a healthy controller, in turn.
func (w *world) pick() *controller {
	for range len(w.ctrls) {
		c := w.ctrls[int(w.next.Add(1))%len(w.ctrls)]
		if c.healthy.Load() {
			return c
		}
	}
	return nil
}

// request sends one request of a user on a new connection. It returns status 0 without a response.
func (w *world) request(c *controller, method, path string, body []byte, timeout time.Duration) (int, protocol.JobState, string) {
	var state protocol.JobState
	if c == nil {
		wait(w.ctx, 200*time.Millisecond)
		return 0, state, "no healthy controller"
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(w.ctx, method, "http://"+c.bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, state, err.Error()
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, state, err.Error()
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, state, err.Error()
	}
	_ = json.Unmarshal(raw, &state)
	return res.StatusCode, state, string(bytes.TrimSpace(raw))
}

// submit submits a job by the rules for users. It reports whether the job was accepted.
func (w *world) submit(j *jobSpec) bool {
	w.mu.Lock()
	w.jobs[j.UID] = j
	w.mu.Unlock()
	raw, _ := json.Marshal(j)
	var sub protocol.Submission
	_ = json.Unmarshal(raw, &sub)
	w.fleet.mu.Lock()
	w.fleet.play.AddJob(&sub)
	w.fleet.mu.Unlock()
	w.rec.add("user submits %s", raw)
	began := time.Now()
	for time.Since(began) < time.Minute && w.ctx.Err() == nil {
		c := w.pick()
		status, _, text := w.request(c, http.MethodPost, protocol.PathJobs, raw, 5*time.Second)
		w.rec.add("user %s: %s submit -> %d %s", j.UID, name(c), status, text)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
		wait(w.ctx, time.Second)
	}
	return false
}

// poll asks for a job once.
func (w *world) poll(id string) (int, protocol.JobState) {
	c := w.pick()
	status, state, text := w.request(c, http.MethodGet, protocol.PathJobs+"/"+id, nil, 2*time.Second)
	w.rec.add("user %s: %s poll -> %d %s", id, name(c), status, text)
	return status, state
}

func name(c *controller) string {
	if c == nil {
		return "nobody"
	}
	return c.node
}

// close ends everything that the site has started.
func (w *world) close() {
	w.stop()
	w.wg.Wait()
}
