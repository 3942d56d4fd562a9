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
	cmd := &cobra.Command{Use: "gateway", Short: "Hand-offs between sites: how they stand, and an operator's word on them"}
	cmd.AddCommand(keysCommand(),
		operatorQuery("status", "Tell how hand-offs with each site stand", printGatewayStatus),
		operatorQuery("handoffs", "List the open hand-offs", printHandOffs),
		operatorAction(core.ActionGiveUp, "give-up JOB", "Take a job back without the far site's word: it may have run there"),
		operatorAction(core.ActionDrain, "drain SITE", "Have no new hand-offs with a site, or have them again (--off)"),
		operatorAction(core.ActionRenew, "renew SITE", "Go on with a site after this site's state was restored from an old copy"))
	return cmd
}

func keysCommand() *cobra.Command {
	var dir string
	var sites []string
	var days int
	var roll bool
	cmd := &cobra.Command{
		Use: "keys", Short: "Make a test authority, certificates and a ticket key", Args: cobra.NoArgs,
		Long: "Writes authority.pem, a certificate and key for each site, and tickets.toml. What is there of the authority and\n" +
			"of ticket keys is kept. Every site needs authority.pem, tickets.toml and its own two files; authority-key.pem\n" +
			"stays where it is.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := transport.Issue(dir, sites, time.Duration(days)*24*time.Hour, roll); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "keys for %s are in %s\n", strings.Join(sites, ", "), dir)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "keys", "folder for the files")
	cmd.Flags().StringSliceVar(&sites, "sites", nil, "names of the sites")
	cmd.Flags().IntVar(&days, "days", 90, "for how many days certificates are good")
	cmd.Flags().BoolVar(&roll, "roll", false, "add a ticket key that signs from now on; the earlier ones are still taken")
	return cmd
}

// operatorQuery makes a command that asks a controller something.
func operatorQuery(name, short string, show func(w io.Writer, raw []byte) error) *cobra.Command {
	var f jobFlags
	return f.add(&cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		raw, err := f.callGateway(cmd, http.MethodGet, core.OperatorAction(name), nil)
		if err != nil {
			return err
		}
		if f.json {
			_, err = cmd.OutOrStdout().Write(append(raw, '\n'))
			return err
		}
		return show(cmd.OutOrStdout(), raw)
	}})
}

// operatorAction makes a command that is an operator's word on a job or a site.
func operatorAction(op core.OperatorAction, use, short string) *cobra.Command {
	var f jobFlags
	var off bool
	m := core.OperatorRequest{}
	if u, err := user.Current(); err == nil {
		m.Operator = u.Username
	}
	cmd := f.add(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		m.Name, m.On = args[0], !off
		body, err := json.Marshal(m)
		if err != nil {
			return err
		}
		raw, err := f.callGateway(cmd, http.MethodPost, op, body)
		if err != nil {
			return err
		}
		var said core.OperatorResult
		if err := json.Unmarshal(raw, &said); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0], said.Message)
		return nil
	}})
	if op == core.ActionDrain {
		cmd.Flags().BoolVar(&off, "off", false, "end the drain")
		return cmd
	}
	cmd.Flags().StringVar(&m.Operator, "operator", m.Operator, "who says so")
	cmd.Flags().StringVar(&m.Reason, "why", "", "why, for the log")
	return cmd
}

// callGateway asks one controller after the other until one answers.
func (f *jobFlags) callGateway(cmd *cobra.Command, method string, op core.OperatorAction, body []byte) ([]byte, error) {
	var last error
	for _, to := range f.to {
		req, err := http.NewRequestWithContext(cmd.Context(), method, "http://"+to+protocol.PathGateway+"/"+string(op), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
		if err != nil {
			last = &client.UnreachableError{Tries: len(f.to), Last: err}
			continue
		}
		raw, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK {
			return raw, nil
		}
		var p protocol.Problem
		if json.Unmarshal(raw, &p) != nil || p.Error == "" {
			p.Error = res.Status
		}
		last = &client.RefusedError{Status: res.StatusCode, Reason: p.Error}
	}
	return nil, last
}

func printGatewayStatus(w io.Writer, raw []byte) error {
	var s core.SiteStatus
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	fmt.Fprintf(w, "site %s, gateway on %s\n", s.Site, s.Node)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "PEER\tSTATE\tBREAKER\tRETRIES\tWAIT THERE\tAWAY\tTAKEN\tOLDEST")
	for _, p := range s.Peers {
		state := "waits for its records"
		switch {
		case p.SuspendedReason != "":
			state = "STOPPED: " + p.SuspendedReason
		case p.Drained:
			state = "drained"
		case p.Busy:
			state = "asks for a pause"
		case p.RecordsCompared:
			state = "open"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.0f s\t%s\t%s\t%s\n", p.Site, state, p.Breaker, p.Retries, p.LongestWaitS, formatCounts(p.Outgoing), formatCounts(p.Incoming), formatAge(p.OldestHandOffAt))
	}
	return t.Flush()
}

func formatCounts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%d %s", m[k], k))
	}
	if out == nil {
		return "-"
	}
	return strings.Join(out, ", ")
}

func formatAge(at int64) string {
	if at == 0 {
		return "-"
	}
	return time.Since(time.UnixMilli(at)).Round(time.Second).String()
}

func printHandOffs(w io.Writer, raw []byte) error {
	var list []federation.HandOff
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "JOB\tCLASS\tPEER\tEPOCH\tSTAGE\tAGE")
	for _, h := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\n", h.JobID, h.Class, h.Peer, h.Epoch, h.Stage, formatAge(h.Time))
	}
	return t.Flush()
}
