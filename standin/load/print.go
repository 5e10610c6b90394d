package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Print prints rows as a table. WORTH is the share of the offered worth that was delivered
// completely and on time.
func Print(w io.Writer, rows []*Row) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "STREAM\tSENT\tWORTH\tLATE\tRETRIED\tP50\tP90\tP99\tP99.9\tMAX\tOUTCOMES")
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%d\t%.2f %%\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Name, r.Sent, 100*r.DeliveredShare(), r.Late, r.Retried,
			quantile(r, 50), quantile(r, 90), quantile(r, 99), quantile(r, 99.9), micros(r.Waits.Max()), outcomes(r))
	}
	_ = tw.Flush()
	for _, r := range rows {
		for _, b := range r.Broken {
			fmt.Fprintln(w, "BROKEN:", b)
		}
	}
}

// DeliveredShare returns the share of the offered worth that was delivered.
func (r *Row) DeliveredShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.Delivered / r.Offered
}

func quantile(r *Row, q float64) string { return micros(r.Waits.ValueAtQuantile(q)) }

func micros(us int64) string {
	return (time.Duration(us) * time.Microsecond).Round(100 * time.Microsecond).String()
}

func outcomes(r *Row) string {
	parts := make([]string, 0, len(r.Outcomes))
	for o, n := range r.Outcomes {
		parts = append(parts, fmt.Sprintf("%s %d", o, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
