package main

import (
	"fmt"
	"net"
	"os"
)

// Each run has two loopback addresses of its own, one for the stand-ins and one for the controllers, so that
// nothing takes a controller's port between its choice and the controller's start.
var (
	standInHost    = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	controllerHost = fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	// freePort is a stand-in's address with any free port.
	freePort = standInHost + ":0"
	chosen   = map[string]bool{}
)

// freeAddress returns a free address for a controller. It is never given twice.
func freeAddress() string {
	for range 100 {
		ln, err := net.Listen("tcp4", controllerHost+":0")
		if err != nil {
			return ""
		}
		address := ln.Addr().String()
		ln.Close()
		if !chosen[address] {
			chosen[address] = true
			return address
		}
	}
	return ""
}
