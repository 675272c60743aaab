package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// A report is the result of an experiment.
type report struct {
	Experiment string    `json:"experiment"`
	Command    string    `json:"command"`
	Seed       uint64    `json:"seed"`
	Begin      time.Time `json:"begin"`
	End        time.Time `json:"end"`
	LoadBefore string    `json:"load_before"`
	LoadAfter  string    `json:"load_after"`
	Tables     []*table  `json:"tables"`
	Plots      []*figure `json:"plots"`
}

// A table is a result with one row per measured case.
type table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// addRow appends a row and prints it. Floating-point values have two decimals.
func (t *table) addRow(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		switch n := v.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.2f", n)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
	fmt.Println(strings.Join(row, "  "))
}

func newReport(experiment, command string, seed uint64) *report {
	return &report{Experiment: experiment, Command: "go run ./baobabbench " + command, Seed: seed}
}

func (r *report) recordBegin() { r.Begin, r.LoadBefore = time.Now().UTC(), loadAverage() }

func (r *report) recordEnd() { r.End, r.LoadAfter = time.Now().UTC(), loadAverage() }

// addTable appends an empty table to the report and prints its header.
func (r *report) addTable(title string, columns ...string) *table {
	t := &table{Title: title, Columns: columns}
	r.Tables = append(r.Tables, t)
	fmt.Printf("%s\n%s\n", title, strings.Join(columns, "  "))
	return t
}

// addFigure appends an empty plot to the report.
func (r *report) addFigure(title, x, y string) *figure {
	f := &figure{Title: title, X: x, Y: y}
	r.Plots = append(r.Plots, f)
	return f
}

// write prints the tables and writes the report as JSON and its plots as PNG files, named by experiment and start time.
func (r *report) write(folder string) error {
	fmt.Printf("\n%s\ndate %s, seed %d, load before %s, after %s\n", r.Command, r.Begin.Format(time.RFC3339), r.Seed, r.LoadBefore, r.LoadAfter)
	for _, t := range r.Tables {
		t.print()
	}
	base := filepath.Join(folder, r.Experiment+"-"+r.Begin.Format("20060102-150405"))
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return errors.Wrap(err, "write report")
	}
	for i, f := range r.Plots {
		if err := f.save(fmt.Sprintf("%s-%d.png", base, i+1)); err != nil {
			return err
		}
	}
	fmt.Printf("\nwritten to %s.json\n", base)
	return nil
}

func (t *table) print() {
	fmt.Printf("\n%s\n", t.Title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// loadAverage returns the load averages of the machine over 1, 5 and 15 minutes, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}
