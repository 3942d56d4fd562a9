// Command harness runs one case of the review: harness CASE FOLDER. It writes record.txt there and
// exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	cases := map[string]func(){"cancelled-then-done": cancelledThenDone, "limit-passed": limitPassed, "limits-lowered": limitsLowered, "told-alone": toldAlone, "held-back": heldBack, "burst": burst}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE FOLDER")
		os.Exit(2)
	}
	log.SetOutput(io.Discard) // what net/http has to say of idle connections
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ends:
		case <-time.After(116 * time.Second):
		}
		if theSite != nil {
			theSite.fatal("out of time, or told to end")
		}
		os.Exit(2)
	}()
	cases[os.Args[1]]()
}
