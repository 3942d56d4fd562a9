package daemon

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/emulator"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/progress"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

const (
	// controllerLease is the time to live of the leases of the test's controllers.
	controllerLease = time.Second
	// fleetKey is the key that names the fleet leader.
	fleetKey = core.Root + "f"
	// preferredLeader is the controller that leads the fleet while both are live.
	preferredLeader, otherController = "b", "a"
	// patience is how long the test waits for what must happen, also on a busy machine.
	patience = 20 * time.Second
)

// testSite is a state service and two controllers.
type testSite struct {
	t           *testing.T
	state       string
	controllers map[string]*testController
}

// testController is a running controller whose core can be made to hang or to be busy.
type testController struct {
	*controlledCore
	// ended receives the error with which the controller ends.
	ended chan error
}

// controlledCore passes steps on to a core, after the next order, if there is one.
type controlledCore struct {
	stepper
	finished *progress.Counter
	orders   chan func()
}

// Step implements stepper.
func (c *controlledCore) Step(now core.Now, commands []core.Command) []core.Effect {
	select {
	case order := <-c.orders:
		order()
	default:
	}
	return c.stepper.Step(now, commands)
}

// listen returns a listener on a loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// freeAddress returns a loopback address whose port is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

// newTestSite starts a state service and two controllers, and waits until preferredLeader leads the
// fleet.
func newTestSite(t *testing.T) *testSite {
	t.Helper()
	state, err := emulator.NewStateService(emulator.Default().State, "")
	if err != nil {
		t.Fatal(err)
	}
	ln := listen(t)
	site := &testSite{t: t, state: ln.Addr().String(), controllers: map[string]*testController{}}
	go func() {
		if err := state.Run(t.Context(), ln); err != nil {
			t.Error(err)
		}
	}()
	peers := map[string]string{preferredLeader: freeAddress(t), otherController: freeAddress(t)}
	for node := range peers {
		site.start(node, peers)
	}
	site.waitFor("leadership of the preferred leader", func() bool { return site.leads(preferredLeader) })
	return site
}

// start starts a controller.
func (s *testSite) start(node string, peers map[string]string) {
	cfg := &settings.Settings{Node: node, Zone: "z", Listen: freeAddress(s.t), PeerListen: peers[node]}
	for other, address := range peers {
		if other != node {
			cfg.Peers = append(cfg.Peers, settings.Peer{Node: other, Zone: "z", Address: address})
		}
	}
	cfg.Services.State, cfg.Services.Cloud = s.state, freeAddress(s.t)
	p := &cfg.Params
	p.Nodes, p.Zones, p.Teams = 2, []string{"z"}, []settings.Team{{Name: "red", CPUs: 8}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = 0.3, 8*controllerLease.Seconds(), 30
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 500, 200, 8, 16
	p.Cloud.RPS, p.Cloud.ListLagS = 1, 1
	p.Limits.CPU, p.Limits.MemoryMB, p.Limits.MaxConnections = 1, 256, 64
	d, err := newDaemon(cfg, settings.DefaultPolicy(), "")
	if err != nil {
		s.t.Fatal(err)
	}
	c := &testController{controlledCore: &controlledCore{stepper: d.core, finished: d.progress, orders: make(chan func(), 1)}, ended: make(chan error, 1)}
	d.core = c.controlledCore
	s.controllers[node] = c
	go func() { c.ended <- d.run(s.t.Context()) }()
}

// fleetLeader returns the stored leader of the fleet, with the revision at which it was stored.
func (s *testSite) fleetLeader() (leader protocol.KeyValue, led bool) {
	status, err := httpclient.New(time.Second, 1).Call(fasthttp.MethodGet, s.state, protocol.PathKV+"/"+fleetKey, nil, &leader)
	return leader, err == nil && status == fasthttp.StatusOK
}

// leads reports whether a controller leads the fleet.
func (s *testSite) leads(node string) bool {
	leader, led := s.fleetLeader()
	return led && strings.Contains(string(leader.Value), fmt.Sprintf(`"n":%q`, node))
}

// waitFor waits until a condition holds.
func (s *testSite) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("no %s within %v", what, patience)
		}
	}
}

// Guards against a fleet leader that hangs, keeps its leases and stays: nobody takes over, and jobs wait
// for ever. The core is stopped in the middle of a step.
func TestLeaderWhoseCoreHangsIsReplacedAndEnds(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	hung := make(chan struct{})
	site.controllers[preferredLeader].orders <- func() {
		close(hung)
		<-t.Context().Done()
	}
	<-hung
	site.waitFor("other leader of the fleet", func() bool { return site.leads(otherController) })
	var stall *progress.StallError
	select {
	case err := <-site.controllers[preferredLeader].ended:
		if !errors.As(err, &stall) {
			t.Errorf("the controller ended with %v, want a StallError", err)
		}
	case <-time.After(patience):
		t.Error("the controller whose core hangs does not end")
	}
	select {
	case err := <-site.controllers[otherController].ended:
		t.Errorf("the other controller ended with %v", err)
	default:
	}
}

// Guards against a leader that loses its leases, or ends, because one step is long. The step takes
// longer than a stalled core would have, and finishes units of work meanwhile.
func TestLeaderKeepsLeaseDuringLongStep(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	before, _ := site.fleetLeader()
	leader := site.controllers[preferredLeader]
	done := make(chan struct{})
	leader.orders <- func() {
		defer close(done)
		for end := time.Now().Add(2 * stallLeases * controllerLease); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			leader.finished.Advance()
		}
	}
	<-done
	after, _ := site.fleetLeader()
	if !site.leads(preferredLeader) || before.Version != after.Version {
		t.Errorf("the leader at revision %d was replaced at revision %d", before.Version, after.Version)
	}
	select {
	case err := <-leader.ended:
		t.Errorf("the controller ended with %v", err)
	default:
	}
}
