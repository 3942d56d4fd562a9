package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

const outgoingJobID = "req-red-1"

// siteCut describes how the link to the site of an outgoing job is cut while controllers of this site end.
type siteCut struct {
	link linkCut
	// ended selects the controllers that end, given the leader of the federation.
	ended func(leader string) []string
	// reported is the progress that the other site has reported before.
	reported Progress
	// cancels is set if the job's user wants to cancel it meanwhile.
	cancels bool
}

// follower returns a controller that does not lead the federation.
func follower(leader string) string {
	return nodeNames[(slices.Index(nodeNames, leader)+1)%len(nodeNames)]
}

// An accepted job that runs at another site was forgotten: every question about it got 503 for as long as
// the link to that site was cut, at each controller that had ended since (docs/incidents/forgotten.md).
func TestOutgoingJobIsKnownWhileItsSiteIsUnreachable(t *testing.T) {
	links := map[string]linkCut{
		"link cut":          {outbound: true, inbound: true},
		"inbound link cut":  {inbound: true},
		"outbound link cut": {outbound: true},
	}
	ended := map[string]func(leader string) []string{
		"none ended":               func(string) []string { return nil },
		"a follower ended":         func(leader string) []string { return []string{follower(leader)} },
		"the leader ended":         func(leader string) []string { return []string{leader} },
		"all but a follower ended": func(leader string) []string { return []string{leader, follower(leader)} },
		"all ended":                func(string) []string { return nodeNames },
	}
	for link, cut := range links {
		for who, nodes := range ended {
			for _, reported := range []Progress{{}, {Running: 2}, {Done: 1, Running: 2}, {Done: 2}} {
				for _, cancels := range []bool{false, true} {
					scenario := siteCut{link: cut, ended: nodes, reported: reported, cancels: cancels}
					t.Run(fmt.Sprintf("%s, %s, %+v, cancelled %v", link, who, reported, cancels), func(t *testing.T) {
						t.Parallel()
						scenario.run(t)
					})
				}
			}
		}
	}
}

// want returns the answer to a question about the job.
func (s siteCut) want() protocol.JobState {
	state := protocol.JobState{ID: outgoingJobID, State: protocol.Queued, Done: s.reported.Done, Running: s.reported.Running}
	if state.Running > 0 {
		state.State = protocol.Running
	}
	return state
}

func (s siteCut) run(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.decide = func(federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Accepted: true, Done: s.reported.Done, Running: s.reported.Running}
	}
	remote.submitRemote(outgoingJobID)
	if !remote.serveUntil(time.Minute, s.toldByAll(cluster)) {
		t.Fatal("the progress of the job is not told")
	}
	s.endControllers(cluster, remote)
	for range 10 {
		s.checkQuestions(cluster)
		remote.serveFor(10 * time.Second)
	}
	remote.linkCut = linkCut{}
	remote.sendLateDecision(s.reported)
	remote.serveFor(time.Second)
	s.checkQuestions(cluster)
	s.checkEnd(cluster, remote)
}

// toldByAll returns a condition that is met once the job is accepted and every controller tells its
// progress.
func (s siteCut) toldByAll(cluster *simCluster) func() bool {
	return func() bool {
		for _, node := range cluster.names {
			answer := cluster.status(node, outgoingJobID)
			if !cluster.cores[node].handoffs.Outgoing[outgoingJobID].Accepted || !cmp.Equal(answer.Body, s.want()) {
				return false
			}
		}
		return true
	}
}

// endControllers cuts the link and ends controllers. Those that are left are asked meanwhile; the others
// come back later.
func (s siteCut) endControllers(cluster *simCluster, remote *remoteSite) {
	remote.linkCut = s.link
	ended := s.ended(cluster.cores["a"].federation.shard.leader)
	for _, node := range ended {
		cluster.crash(node)
		cluster.expire(node)
	}
	for range 3 {
		s.checkQuestions(cluster)
		remote.serveFor(5 * time.Second)
	}
	for _, node := range ended {
		cluster.boot(node)
	}
	cluster.waitUntilReady()
}

// checkQuestions asks every controller that runs everything that a user may ask about the job.
func (s siteCut) checkQuestions(cluster *simCluster) {
	for _, node := range cluster.names {
		if cluster.cores[node] == nil {
			continue
		}
		s.checkAnswer(cluster, node, "poll", cluster.status(node, outgoingJobID))
		s.checkAnswer(cluster, node, "repeated submission", cluster.submit(node, outgoingJobID, 3, remoteZoneOnly))
		s.checkAnswer(cluster, node, "submission that is rejected now", cluster.submit(node, outgoingJobID, 3, `,"crew":"nobody"`))
		dependent := cluster.submit(node, fmt.Sprintf("req-red-%d", cluster.nextReq), 1, dependenciesField(outgoingJobID))
		if dependent.Status != http.StatusCreated {
			cluster.t.Errorf("%v: %s: submission that awaits the job got %d, want 201", cluster.now, node, dependent.Status)
		}
		list, _ := cluster.request(node, func(req uint64) Command { return List{Req: req} }).Body.(protocol.JobList)
		if len(list.Jobs) == 0 || !cmp.Equal(list.Jobs[0].JobState, s.want()) {
			cluster.t.Errorf("%v: %s: the list of %d jobs does not begin with %+v", cluster.now, node, len(list.Jobs), s.want())
		}
		if !s.cancels {
			continue
		}
		if cancel := cluster.cancelJob(node, outgoingJobID); cancel.Status != http.StatusServiceUnavailable || cancel.RetryAfter < 1 {
			cluster.t.Errorf("%v: %s: cancellation got %d, want 503 with Retry-After", cluster.now, node, cancel.Status)
		}
	}
}

func (s siteCut) checkAnswer(cluster *simCluster, node, question string, answer Answer) {
	if answer.Status != http.StatusOK || !cmp.Equal(answer.Body, s.want()) {
		cluster.t.Errorf("%v: %s: %s got %d %+v, want 200 %+v", cluster.now, node, question, answer.Status, answer.Body, s.want())
	}
}

// sendLateDecision delivers a decision that was held up since before the last done task was reported.
func (f *remoteSite) sendLateDecision(reported Progress) {
	if reported.Done > 0 {
		reported.Done--
		reported.Running++
	}
	for epoch := range ordered(f.answers) {
		f.send(federation.Message{Kind: federation.KindDecision, Accepted: true, Epoch: epoch, Done: reported.Done, Running: reported.Running})
	}
}

// checkEnd checks that the job ends as the other site reports, and that no controller answers anything
// older from then on, even if an older message arrives.
func (s siteCut) checkEnd(cluster *simCluster, remote *remoteSite) {
	final := protocol.JobState{ID: outgoingJobID, State: protocol.Done, Done: 3}
	if s.cancels {
		final = protocol.JobState{ID: outgoingJobID, State: protocol.Cancelled}
	}
	remote.finalState = func() string { return final.State }
	if !remote.serveUntil(time.Minute, func() bool {
		return cmp.Equal(cluster.status(cluster.names[0], outgoingJobID).Body, final)
	}) {
		cluster.t.Fatal("the end of the job is not told")
	}
	remote.sendLateDecision(s.reported)
	for range 3 {
		for _, node := range cluster.names {
			if answer := cluster.status(node, outgoingJobID); answer.Status == http.StatusOK && !cmp.Equal(answer.Body, final) {
				cluster.t.Errorf("%v: %s: got %+v, want %+v", cluster.now, node, answer.Body, final)
			}
		}
		remote.serveFor(5 * time.Second)
	}
	if cluster.isStored(progressKey(outgoingJobID)) || cluster.isStored(outgoingKey(outgoingJobID)) {
		cluster.t.Error("records of the job are left")
	}
}

// The end of a job at another site is told while only the link from its origin is cut, also by controllers that
// have started since. Their leader took no result before it had compared its records with the other site's, for
// which it needs the link in both directions.
func TestEndOfOutgoingJobIsToldWhileOutboundLinkIsCut(t *testing.T) {
	for _, final := range []string{protocol.Done, protocol.Cancelled} {
		for ended, nodes := range map[string][]string{"none": nil, "all": nodeNames} {
			cluster, remote := newFederatedSimCluster(t)
			scenario := siteCut{reported: Progress{Done: 1, Running: 2}, link: linkCut{outbound: true}, cancels: final == protocol.Cancelled}
			scenario.ended = func(string) []string { return nodes }
			remote.submitRemote(outgoingJobID)
			if !remote.serveUntil(time.Minute, scenario.toldByAll(cluster)) {
				t.Fatal("the progress of the job is not told")
			}
			if scenario.cancels {
				cluster.cancelJob("a", outgoingJobID)
			}
			scenario.endControllers(cluster, remote)
			told := false
			for range 10 {
				for epoch := range ordered(remote.answers) {
					remote.send(federation.Message{Kind: federation.KindResult, Epoch: epoch, State: final})
				}
				remote.serveFor(time.Second)
				answer, _ := cluster.status("b", outgoingJobID).Body.(protocol.JobState)
				told = answer.State == final
			}
			if !told {
				t.Errorf("%s ended: the job is not told to be %s", ended, final)
			}
		}
	}
}

// Every controller answers questions about a job as soon as its acceptance by another site is stored.
// Those that did not lead the federation answered 503 until the next message of that site arrived.
func TestOutgoingJobIsKnownRightAfterItsAcceptance(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.submitRemote(outgoingJobID)
	cluster.delayWatches(500 * time.Millisecond)
	if !remote.serveUntil(time.Minute, func() bool {
		return !slices.ContainsFunc(cluster.names, func(node string) bool {
			return !cluster.cores[node].handoffs.Outgoing[outgoingJobID].Accepted
		})
	}) {
		t.Fatal("the job is not accepted")
	}
	remote.linkCut = linkCut{outbound: true, inbound: true}
	for range 10 {
		for _, node := range cluster.names {
			if answer := cluster.status(node, outgoingJobID); answer.Status != http.StatusOK {
				t.Errorf("%v: %s: got status %d, want 200", cluster.now, node, answer.Status)
			}
		}
	}
}

// A progress write that is carried out late must neither overwrite newer progress nor leave a key behind.
func TestLateProgressWritesChangeNothing(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.submitRemote(outgoingJobID)
	done := 0
	cluster.lateWrite = func(_ string, txn StoreTxn) time.Duration {
		if slices.ContainsFunc(txn.Txn.Then, func(change protocol.Change) bool { return change.Put == progressKey(outgoingJobID) }) && cluster.rng.IntN(2) == 0 {
			return time.Duration(2+cluster.rng.IntN(10)) * time.Second
		}
		return 0
	}
	told := map[string]int{}
	for range 30 {
		done++
		for epoch, answer := range remote.answers {
			answer.Done = done
			remote.answers[epoch] = answer
		}
		remote.serveUntil(4*time.Second, func() bool {
			for node, c := range ordered(cluster.cores) {
				if now := c.handoffs.progressOf(outgoingJobID).Done; now < told[node] {
					t.Errorf("%v: %s: %d tasks are done, after %d were", cluster.now, node, now, told[node])
				} else {
					told[node] = now
				}
			}
			return false
		})
	}
	if told["a"] < 15 {
		t.Errorf("got %d tasks done, want most of %d", told["a"], done)
	}
	remote.finalState = func() string { return protocol.Done }
	if !remote.serveUntil(time.Minute, cluster.allDone(outgoingJobID)) {
		t.Fatal("the end of the job is not stored")
	}
	remote.serveFor(30 * time.Second)
	if cluster.isStored(progressKey(outgoingJobID)) {
		t.Error("the progress of the job is left")
	}
}

// Stored progress belongs to one hand-off epoch. Progress that a controller only announces counts until
// something is stored: controllers of earlier versions announce it and store none.
func TestProgressOfOutgoingJob(t *testing.T) {
	const id = outgoingJobID
	put := func(epoch federation.Epoch, done int, version uint64) func(r *handoffReplica) {
		value := mustjson.Marshal(progressRecord{Epoch: epoch, Progress: Progress{Done: done}})
		return func(r *handoffReplica) {
			if err := r.progress.apply(id, protocol.KeyValue{Key: progressKey(id), Value: value, Version: version}); err != nil {
				t.Error(err)
			}
		}
	}
	announce := func(done int) func(r *handoffReplica) {
		return func(r *handoffReplica) { r.announceProgress(id, Progress{Done: done}) }
	}
	remove := func(revision uint64) func(r *handoffReplica) {
		return func(r *handoffReplica) { r.progress.applyDeletion(id, revision) }
	}
	type steps = []func(r *handoffReplica)
	for name, test := range map[string]struct {
		steps steps
		want  int
	}{
		"nothing known":               {nil, 0},
		"stored":                      {steps{put(7, 3, 10)}, 3},
		"of an earlier epoch":         {steps{put(6, 3, 10)}, 0},
		"an older version":            {steps{put(7, 3, 10), put(7, 2, 9)}, 3},
		"a newer version":             {steps{put(7, 3, 10), put(7, 4, 11)}, 4},
		"deleted":                     {steps{put(7, 3, 10), remove(11)}, 0},
		"an older deletion":           {steps{put(7, 3, 10), remove(9)}, 3},
		"announced":                   {steps{announce(2)}, 2},
		"announced, then fewer":       {steps{announce(2), announce(1)}, 2},
		"announced and stored":        {steps{announce(2), put(7, 3, 10), announce(5)}, 3},
		"announced, stored otherwise": {steps{put(6, 3, 10), announce(2)}, 2},
	} {
		r := newHandoffReplica()
		r.Outgoing[id] = federation.Outgoing{Epoch: 7, To: "far", Accepted: true}
		for _, step := range test.steps {
			step(&r)
		}
		if got := r.progressOf(id).Done; got != test.want {
			t.Errorf("%s: got %d done tasks, want %d", name, got, test.want)
		}
	}
}

// A snapshot shows which progress was deleted while the watch was interrupted. One that is older than the
// stored progress shows nothing.
func TestSnapshotReplacesProgressOfOutgoingJobs(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	older := cluster.snapshot()
	remote.submitRemote(outgoingJobID)
	scenario := siteCut{reported: Progress{Done: 1, Running: 2}}
	if !remote.serveUntil(time.Minute, scenario.toldByAll(cluster)) {
		t.Fatal("the progress of the job is not told")
	}
	c := cluster.cores["a"]
	c.handle(older)
	if got := c.handoffs.progressOf(outgoingJobID); got != scenario.reported {
		t.Errorf("got %+v after an older snapshot, want %+v", got, scenario.reported)
	}
	newer := cluster.snapshot()
	newer.Items = slices.DeleteFunc(newer.Items, func(item protocol.KeyValue) bool { return item.Key == progressKey(outgoingJobID) })
	c.handle(newer)
	if got := c.handoffs.progress.versions; len(got) > 0 {
		t.Errorf("got progress of versions %v after a snapshot without any, want none", got)
	}
}

// What a controller of an earlier version has announced, and never stored, is stored by the next leader.
func TestNewFederationLeaderStoresAnnouncedProgress(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.decide = func(federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Accepted: true}
	}
	remote.submitRemote(outgoingJobID)
	if !remote.serveUntil(time.Minute, func() bool { return cluster.cores["a"].handoffs.Outgoing[outgoingJobID].Accepted }) {
		t.Fatal("the job is not accepted")
	}
	remote.linkCut = linkCut{outbound: true, inbound: true}
	announced := Progress{Done: 2, Running: 1}
	leader := cluster.cores["a"].federation.shard.leader
	for _, node := range cluster.names {
		if node != leader {
			message := FederationMessage{Progress: map[string]Progress{outgoingJobID: announced}}
			cluster.send(node, PeerMessageReceived{Node: leader, Message: PeerMessage{Federation: &message}})
		}
	}
	remote.serveFor(time.Second)
	cluster.crash(leader)
	cluster.expire(leader)
	if !remote.serveUntil(time.Minute, func() bool { return cluster.isStored(progressKey(outgoingJobID)) }) {
		t.Fatal("the announced progress is not stored")
	}
	cluster.boot(leader)
	cluster.waitUntilReady()
	if got := cluster.cores[leader].handoffs.progressOf(outgoingJobID); got != announced {
		t.Errorf("got progress %+v, want %+v", got, announced)
	}
}

// However often the progress of jobs changes, storing it takes no more than its share of the write rate.
func TestProgressWritesKeepToTheirShareOfTheWriteRate(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	const jobs = 10
	for i := range jobs {
		remote.submitRemote(fmt.Sprintf("req-red-%d", i))
	}
	writes := 0
	cluster.onEffect = func(_ string, e Effect) {
		if txn, ok := e.(StoreTxn); ok {
			for _, change := range txn.Txn.Then {
				if strings.HasPrefix(change.Put+change.Delete, keyProgress) {
					writes++
				}
			}
		}
	}
	const duration = 2 * time.Minute
	done := 0
	for began := cluster.now; cluster.now < began+duration; {
		done++
		for epoch := range ordered(remote.answers) {
			remote.send(federation.Message{Kind: federation.KindDecision, Accepted: true, Epoch: epoch, Done: done, Running: done % 2})
		}
		remote.serveFor(200 * time.Millisecond)
	}
	rate := progressWriteShare * cluster.cfg["a"].Params.State.WriteRPS
	if limit := rate*duration.Seconds() + jobs; float64(writes) > limit {
		t.Errorf("got %d writes in %v, want at most %.0f", writes, duration, limit)
	}
	for i := range jobs {
		if got := cluster.cores["a"].handoffs.progressOf(fmt.Sprintf("req-red-%d", i)).Done; got < done*3/4 {
			t.Errorf("got %d done tasks of job %d while %d are, want most of them", got, i, done)
		}
	}
	remote.serveFor(time.Minute)
	for i := range jobs {
		for node, c := range ordered(cluster.cores) {
			if got := c.handoffs.progressOf(fmt.Sprintf("req-red-%d", i)).Done; got != done {
				t.Errorf("%s: got %d done tasks of job %d, want %d", node, got, i, done)
			}
		}
	}
}
