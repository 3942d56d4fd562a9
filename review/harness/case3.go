package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// heldBack: the network between users and a controller is interrupted for a few seconds, just after a
// user has connected, and holds back the user's request, a repeated submission of an accepted job.
func heldBack() {
	s := newSite(kelani(), 3)
	for _, n := range s.nodes {
		if !s.awaitUp(n, 20*time.Second) {
			s.fatal("%s isn't healthy", n.name)
		}
	}
	job := func(id string) *jobSpec {
		return &jobSpec{UID: id, LeverClass: "security-rebuilds", Crew: "oncall-crew-0", Shape: "batch", Urgency: "urgent", Pieces: 2, VCPUs: 2, MemoryGB: 1.8, Bundle: "img-01", PullGB: 0.4, GuessS: 18, Loaners: true}
	}
	const known, first = "req-000001", "req-000002"
	if !s.submit(job(known), 0) {
		s.fatal("the job wasn't accepted")
	}
	s.rec("user: %s accepted", known)
	time.Sleep(2 * time.Second)
	path := newUserPath(s.nodes[1].user)
	for _, seconds := range []float64{2, 3.5, 4.5} {
		status, body := s.submitHeldBack(path, job(known), seconds)
		s.rec("user: the repeated submission of %s, held back for %.1f s, is answered with %d %s", known, seconds, status, body)
		if status == 400 || status == 422 || status == 404 {
			s.breaks("forgotten", "%s was accepted, and a repeated submission of it gets %d", known, status)
		}
	}
	// For the record: the first submission of a valid job is refused as well, and users don't repeat it.
	status, body := s.submitHeldBack(path, job(first), 3.5)
	s.rec("user: the first submission of %s, held back for 3.5 s, is answered with %d %s", first, status, body)
	time.Sleep(time.Second)
	for _, n := range s.nodes {
		status, in := s.poll(known, n)
		s.rec("user: GET /work/%s at %s: %d %q", known, n.name, status, in.Stance)
	}
	s.finish("forgotten")
}

// submitHeldBack submits a job over a connection whose packets are held back for some seconds after it
// was opened. The user waits 5 s; status 0 means no response.
func (s *Site) submitHeldBack(path *userPath, j *jobSpec, seconds float64) (int, string) {
	s.mu.Lock()
	s.jobs[j.UID] = j
	s.mu.Unlock()
	conn, err := net.Dial("tcp4", path.address)
	if err != nil {
		s.fatal("%v", err)
	}
	defer conn.Close()
	time.Sleep(50 * time.Millisecond) // the connection is open to the controller
	if s.trouble {
		path.set(true)
		time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { path.set(false) })
	}
	body, _ := json.Marshal(j)
	s.rec("user: POST /work with %s", j.UID)
	fmt.Fprintf(conn, "POST /work HTTP/1.1\r\nHost: work\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	out, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(out)
}
