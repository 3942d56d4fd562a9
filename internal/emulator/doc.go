// Package emulator runs a whole site on loopback: the state service, the cloud, the
// workers and the users' front door, as docs/lab.md describes them. Each follows the
// published protocol, not any product. The parts that decide (KeyValueStore, Cloud,
// Fleet) do no I/O and are passed the time; Site connects them to the network.
package emulator
