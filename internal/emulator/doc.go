// Package emulator runs a complete site on loopback: the state service, the cloud, the
// workers and the users' frontend, as described in docs/lab.md. Each implements the
// published protocol rather than imitating a particular product. The state machines
// (KeyValueStore, Cloud and Fleet) do no I/O and take the current time as a parameter;
// Site connects them to the network.
package emulator
