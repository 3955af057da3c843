package inspector

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes replicas as a table.
func Print(writer io.Writer, replicas []Replica) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join([]string{
		"VM", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "FOLDER BYTES", "LOG BYTES", "OUT FOR", "REASON",
	}, "\t"))
	for _, replica := range replicas {
		_, _ = fmt.Fprintln(table, strings.Join(cells(replica), "\t"))
	}
	return Error.Wrap(table.Flush())
}

func cells(replica Replica) []string {
	if replica.Unreachable != "" {
		return []string{string(replica.VM), "unreachable", "-", "-", "-", "-", "-", "-", "-", replica.Unreachable}
	}
	out, reason := "-", "-"
	if replica.Reason != "" {
		out, reason = (time.Duration(replica.OutSeconds) * time.Second).String(), replica.Reason
	}
	if replica.Withdrawal != "" && replica.Reason == "" {
		reason = "does not lead: " + replica.Withdrawal
	}
	leader := string(replica.Leader)
	if leader == "" {
		leader = "none"
	}
	return []string{
		string(replica.VM), string(replica.Role), fmt.Sprint(replica.Term), leader, fmt.Sprint(replica.Commit),
		fmt.Sprint(replica.Applied), fmt.Sprint(replica.FolderBytes), fmt.Sprint(replica.LogBytes), out, reason,
	}
}
