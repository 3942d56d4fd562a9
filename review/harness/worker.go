package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type taskReport struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Stance string `json:"stance"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
}

type task struct {
	taskReport
	job   *jobSpec
	timer *time.Timer
}

type report struct {
	Hand      string       `json:"hand"`
	Address   string       `json:"address"`
	Build     string       `json:"build"`
	Yard      string       `json:"yard"`
	Loaners   bool         `json:"loaners"`
	Shift     uint64       `json:"shift"`
	Tick      uint64       `json:"tick"`
	Baton     uint64       `json:"baton"`
	RecallInS *float64     `json:"recallInS"`
	Pieces    []taskReport `json:"pieces"`
}

type command struct {
	Call      string
	Piece     string
	Try       uint64
	WindDownS float64
}

// Worker is a stand-in for a worker, as PROTOCOL describes it, with arrays and gangs. Of gangs it
// has only the start and the end together, not the failures.
type Worker struct {
	mu         sync.Mutex
	site       *Site
	r          report
	typ        *machineType
	tasks      []*task
	node       int
	started    time.Time // of the session
	renewed    time.Time // when the last answered report was sent
	tokenNoted time.Time // when a higher token last counted as a change
	changed    chan struct{}
	stopped    chan struct{}
	ln         net.Listener
	client     *http.Client
	images     map[string]time.Time
}

// startWorker starts the worker of a machine that is up, and returns its address. n chooses the
// controller to which it reports first.
func (s *Site) startWorker(v *vm, typ *machineType, n int) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.fatal("worker: %v", err)
	}
	w := &Worker{site: s, typ: typ, node: n % len(s.nodes), started: time.Now(), changed: make(chan struct{}, 1), stopped: make(chan struct{}), ln: ln,
		client: &http.Client{Timeout: 4 * time.Second}, images: map[string]time.Time{}}
	w.r = report{Hand: v.name, Address: ln.Addr().String(), Build: v.typ, Yard: v.zone, Loaners: v.loaners, Shift: 1}
	s.mu.Lock()
	s.workers[v.name] = w
	s.mu.Unlock()
	go http.Serve(ln, w)
	go w.run()
	s.rec("worker %s up (%s, %s), reports to %s first", v.name, v.typ, v.zone, s.nodes[w.node].name)
	return w.r.Address
}

// stopWorker ends a machine with all that is on it.
func (s *Site) stopWorker(name string) {
	s.mu.Lock()
	w := s.workers[name]
	delete(s.workers, name)
	s.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stopped)
	w.ln.Close()
	w.killAll("machine gone")
}

func (w *Worker) killAll(why string) {
	for _, t := range w.tasks {
		if t.Stance != "exited" {
			w.exit(t, why)
		}
	}
	w.tasks = nil
}

func (w *Worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) exit(t *task, cause string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	wasOn := t.Stance == "running" || t.Stance == "waiting"
	t.Stance, t.Cause = "exited", cause
	w.site.taskEnded(w, t, cause, wasOn)
	w.noteChange()
}

// next returns the next report. The caller holds w.mu.
func (w *Worker) next() report {
	w.r.Tick++
	r := w.r
	r.Pieces = []taskReport{}
	for _, t := range w.tasks {
		r.Pieces = append(r.Pieces, t.taskReport)
	}
	return r
}

func (w *Worker) run() {
	wait := time.Duration(0)
	last := time.Time{}
	for {
		timer := time.NewTimer(wait)
		select {
		case <-w.stopped:
			return
		case <-timer.C:
		case <-w.changed:
			if d := 500*time.Millisecond - time.Since(last); d > 0 {
				time.Sleep(d)
			}
		}
		timer.Stop()
		last = time.Now()
		wait = w.report()
	}
}

// report sends one report, and returns the time to the next.
func (w *Worker) report() time.Duration {
	reportS, leaseS := w.site.reportS, w.site.leaseS
	w.mu.Lock()
	base := w.started
	if w.renewed.After(base) {
		base = w.renewed
	}
	if time.Since(base) > time.Duration(leaseS*float64(time.Second)) {
		w.site.rec("worker %s: lease over, session %d", w.r.Hand, w.r.Shift+1)
		w.killAll("lease over")
		w.r.Shift++
		w.started = time.Now()
	}
	r := w.next()
	node := w.site.nodes[w.node]
	w.mu.Unlock()
	sent := time.Now()
	status, body := post(w.client, node.user, "/agent/beat", r)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status {
	case 200:
		var in struct {
			Baton uint64
			Calls []command
		}
		if json.Unmarshal(body, &in) == nil && r.Shift == w.r.Shift && in.Baton > 0 && in.Baton >= w.r.Baton {
			w.renewed = sent
			w.execute(in.Baton, in.Calls)
		}
		return time.Duration(reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	case 421:
		var in struct{ Foreman string }
		json.Unmarshal(body, &in)
		for i, n := range w.site.nodes {
			if n.name == in.Foreman && i != w.node {
				w.node = i
				return time.Duration(rand.Float64() * float64(500*time.Millisecond))
			}
		}
	}
	w.node = (w.node + 1) % len(w.site.nodes)
	return time.Second
}

// execute carries out commands. The caller holds w.mu and has checked token and session.
func (w *Worker) execute(baton uint64, calls []command) {
	if baton > w.r.Baton {
		w.r.Baton = baton
		if time.Since(w.tokenNoted).Seconds() > w.site.leaseS/2 {
			w.tokenNoted = time.Now()
			w.noteChange()
		}
	}
	for _, c := range calls {
		var known *task
		for _, t := range w.tasks {
			if t.Piece == c.Piece && t.Try == c.Try {
				known = t
			}
		}
		switch {
		case c.Call == "run" && known == nil:
			w.start(c)
		case c.Call == "halt" && known != nil && known.Stance != "exited":
			w.exit(known, "stopped")
		case c.Call == "reap" && known != nil && known.Stance == "exited":
			for i, t := range w.tasks {
				if t == known {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

func (w *Worker) start(c command) {
	id, number, _ := strings.Cut(c.Piece, "/")
	t := &task{taskReport: taskReport{Piece: c.Piece, Try: c.Try, Stance: "pulling"}, job: w.site.jobOf(id)}
	busy, free, freeGB := false, w.typ.CPUs, w.typ.MemoryGB
	for _, o := range w.tasks {
		if o.Stance != "exited" {
			busy = busy || o.Piece == c.Piece
			if o.job != nil {
				free, freeGB = free-o.job.VCPUs, freeGB-o.job.MemoryGB
			}
		}
	}
	w.tasks = append(w.tasks, t)
	n, err := strconv.Atoi(number)
	switch {
	case t.job == nil || err != nil || n >= t.job.Pieces:
		w.exit(t, "no_such")
		return
	case busy:
		w.exit(t, "busy")
		return
	case t.job.VCPUs > free+1e-6 || t.job.MemoryGB > freeGB+1e-6:
		w.exit(t, "full")
		return
	}
	w.noteChange()
	ready, ok := w.images[t.job.Bundle]
	if !ok {
		ready = time.Now().Add(time.Duration(t.job.PullGB / w.typ.PullGBPerS * float64(time.Second)))
		w.images[t.job.Bundle] = ready
	}
	t.timer = time.AfterFunc(max(time.Millisecond, time.Until(ready)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.Stance != "pulling" {
			return
		}
		if w.site.isDone(t) { // the result is kept
			w.exit(t, "done")
			return
		}
		w.site.taskStarted(w, t)
		w.noteChange()
		if t.job.Shape == "group" {
			t.Stance = "waiting"
			w.site.gangWaits(w, t)
			return
		}
		t.Stance = "running"
		t.timer = time.AfterFunc(time.Duration(t.job.GuessS*float64(time.Second)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if t.Stance == "running" {
				w.exit(t, "done")
			}
		})
	})
}

// isDone reports whether a task completed earlier.
func (s *Site) isDone(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doneAt[t.job.UID][t.Piece]
}

// gangWaits is called when a task of a gang waits for the others, with w.mu held. When all of the
// attempt wait, they start together; they end together after guessS.
func (s *Site) gangWaits(w *Worker, t *task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprint(t.job.UID, ".", t.Try)
	s.gangs[key] = append(s.gangs[key], gangTask{w, t})
	if len(s.gangs[key]) < t.job.Pieces {
		return
	}
	gang := s.gangs[key]
	s.rec("gang %s try %d starts with %d tasks", t.job.UID, t.Try, len(gang))
	go func() {
		set := func(from string, change func(w *Worker, t *task)) {
			for _, g := range gang {
				g.w.mu.Lock()
				if g.t.Stance == from {
					change(g.w, g.t)
				}
				g.w.mu.Unlock()
			}
		}
		set("waiting", func(w *Worker, t *task) { t.Stance = "running"; w.noteChange() })
		time.Sleep(time.Duration(t.job.GuessS * float64(time.Second)))
		set("running", func(w *Worker, t *task) { w.exit(t, "done") })
	}()
}

type gangTask struct {
	w *Worker
	t *task
}

// ServeHTTP answers a direct command or a request for the report.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/inspect" {
		answer(rw, 200, w.next())
		return
	}
	var in struct {
		Baton, Shift *uint64
		Calls        []command
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Baton == nil || in.Shift == nil {
		answer(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	if *in.Baton < w.r.Baton || *in.Shift != w.r.Shift {
		answer(rw, 409, w.next())
		return
	}
	w.execute(*in.Baton, in.Calls)
	answer(rw, 200, w.next())
}

// post sends a JSON body, or none for nil, and returns status and body; status 0 means no answer.
func post(client *http.Client, address, path string, body any) (int, []byte) {
	method, in := "GET", []byte(nil)
	if body != nil {
		method = "POST"
		in, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(in))
	if err != nil {
		panic(fmt.Sprint("post: ", err))
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, out
}

// decode decodes a JSON body; one that isn't JSON leaves out as it is.
func decode(body []byte, out any) { json.Unmarshal(body, out) }
