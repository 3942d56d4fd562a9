package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pepperlever/client"
	"pepperlever/internal/core"
	"pepperlever/internal/federation"
	"pepperlever/internal/federation/transport"
	"pepperlever/internal/protocol"
)

func gatewayCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "gateway", Short: "Inspect and control hand-offs between sites"}
	cmd.AddCommand(keysCommand(),
		operatorQuery("status", "Show the state of hand-offs with each site", printGatewayStatus),
		operatorQuery("handoffs", "List the open hand-offs", printHandOffs),
		operatorAction(core.ActionGiveUp, "give-up JOB", "Take a job back without confirmation by the other site, where it may have run"),
		operatorAction(core.ActionDrain, "drain SITE", "Stop new hand-offs with a site, or resume them (--off)"),
		operatorAction(core.ActionRenew, "renew SITE", "Resume hand-offs with a site after this site's state was restored from a backup"))
	return cmd
}

func keysCommand() *cobra.Command {
	var dir string
	var sites []string
	var days int
	var roll bool
	cmd := &cobra.Command{
		Use: "keys", Short: "Create a test authority, certificates and a ticket key", Args: cobra.NoArgs,
		Long: "Writes authority.pem, a certificate and key for each site, and tickets.toml. An existing authority and existing\n" +
			"ticket keys are kept. Every site needs authority.pem, tickets.toml and its own two files; do not distribute\n" +
			"authority-key.pem.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := transport.IssueCredentials(dir, sites, time.Duration(days)*24*time.Hour, roll); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "wrote keys for %s to %s\n", strings.Join(sites, ", "), dir)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "directory for the files")
	cmd.Flags().StringSliceVar(&sites, "sites", nil, "names of the sites")
	cmd.Flags().IntVar(&days, "days", 90, "days that certificates are valid")
	cmd.Flags().BoolVar(&roll, "roll", false, "add a ticket key that signs from now on; earlier keys are still accepted")
	return cmd
}

// operatorQuery returns a command that queries a controller and prints the response.
func operatorQuery(name, short string, render func(w io.Writer, raw []byte) error) *cobra.Command {
	var f jobFlags
	return f.addFlags(&cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		raw, err := f.callGateway(cmd, http.MethodGet, core.OperatorAction(name), nil)
		if err != nil {
			return err
		}
		if f.json {
			_, err = cmd.OutOrStdout().Write(append(raw, '\n'))
			return err
		}
		return render(cmd.OutOrStdout(), raw)
	}})
}

// operatorAction returns a command that applies an operator's action to a job or a site.
func operatorAction(op core.OperatorAction, use, short string) *cobra.Command {
	var f jobFlags
	var off bool
	request := core.OperatorRequest{}
	if u, err := user.Current(); err == nil {
		request.Operator = u.Username
	}
	cmd := f.addFlags(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		request.Name, request.On = args[0], !off
		body, err := json.Marshal(request)
		if err != nil {
			return err
		}
		raw, err := f.callGateway(cmd, http.MethodPost, op, body)
		if err != nil {
			return err
		}
		var result core.OperatorResult
		if err := json.Unmarshal(raw, &result); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0], result.Message)
		return nil
	}})
	if op == core.ActionDrain {
		cmd.Flags().BoolVar(&off, "off", false, "resume hand-offs")
		return cmd
	}
	cmd.Flags().StringVar(&request.Operator, "operator", request.Operator, "name of the operator, for the log")
	cmd.Flags().StringVar(&request.Reason, "why", "", "reason, for the log")
	return cmd
}

// callGateway tries the controllers in turn until one accepts the request. It returns the
// response, or the error of the last attempt.
func (f *jobFlags) callGateway(cmd *cobra.Command, method string, op core.OperatorAction, body []byte) ([]byte, error) {
	var lastErr error
	for _, to := range f.to {
		request, err := http.NewRequestWithContext(cmd.Context(), method, "http://"+to+protocol.PathGateway+"/"+string(op), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
		if err != nil {
			lastErr = &client.UnreachableError{Tries: len(f.to), Last: err}
			continue
		}
		raw, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return raw, nil
		}
		var problem protocol.Problem
		if json.Unmarshal(raw, &problem) != nil || problem.Error == "" {
			problem.Error = response.Status
		}
		lastErr = &client.RefusedError{Status: response.StatusCode, Reason: problem.Error}
	}
	return nil, lastErr
}

// printGatewayStatus prints a table of the peers and the hand-offs with them.
func printGatewayStatus(w io.Writer, raw []byte) error {
	var status core.SiteStatus
	if err := json.Unmarshal(raw, &status); err != nil {
		return err
	}
	fmt.Fprintf(w, "site %s, gateway on %s\n", status.Site, status.Node)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "PEER\tSTATE\tBREAKER\tRETRIES\tWAIT THERE\tAWAY\tTAKEN\tOLDEST")
	for _, peer := range status.Peers {
		state := "waits for its records"
		switch {
		case peer.SuspendedReason != "":
			state = "STOPPED: " + peer.SuspendedReason
		case peer.Drained:
			state = "drained"
		case peer.Busy:
			state = "asks for a pause"
		case peer.RecordsCompared:
			state = "open"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.0f s\t%s\t%s\t%s\n", peer.Site, state, peer.Breaker, peer.Retries, peer.LongestWaitS, formatCounts(peer.Outgoing), formatCounts(peer.Incoming), formatAge(peer.OldestHandOffAt))
	}
	return table.Flush()
}

// formatCounts formats counts as "3 offered, 1 running", sorted by name.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	if parts == nil {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// formatAge formats the time since a Unix time in milliseconds; 0 means that there is none.
func formatAge(unixMillis int64) string {
	if unixMillis == 0 {
		return "-"
	}
	return time.Since(time.UnixMilli(unixMillis)).Round(time.Second).String()
}

// printHandOffs prints a table of hand-offs.
func printHandOffs(w io.Writer, raw []byte) error {
	var handOffs []federation.HandOff
	if err := json.Unmarshal(raw, &handOffs); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tCLASS\tPEER\tEPOCH\tSTAGE\tAGE")
	for _, handOff := range handOffs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", handOff.JobID, handOff.Class, handOff.Peer, handOff.Epoch, handOff.Stage, formatAge(handOff.Time))
	}
	return table.Flush()
}
