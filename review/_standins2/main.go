package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// verdict is the result of a case: the exit status of its script.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// caseRun is what a case gets.
type caseRun struct {
	ctx     context.Context
	root    string
	dir     string
	rec     *recorder
	trouble bool
}

// cases holds the cases by name.
var cases = map[string]func(*caseRun) verdict{}

func lockThread() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE ROOT RECORD")
		os.Exit(int(couldNot))
	}
	os.Exit(int(run(os.Args[1], os.Args[2], os.Args[3])))
}

func run(name, root, record string) verdict {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.file.Close()
	dir, err := os.MkdirTemp("", "pepperlever-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("CASE_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 118*time.Second)
	defer cancel()
	r := &caseRun{ctx: ctx, root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case %s, trouble %v", name, r.trouble)
	v := cases[name](r)
	rec.add("VERDICT: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", couldNot: "the case could not run"}[v])
	return v
}
