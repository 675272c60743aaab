package baobabcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobaboperator"
	"github.com/baobabdale/baobabdale/baobabsettings"
)

// app is one run of the command line. Its fields stand for the process, so that tests need none.
type app struct {
	out       io.Writer
	err       io.Writer
	getenv    func(string) string
	readFile  func(string) ([]byte, error)
	runNode   func(context.Context, *baobabsettings.Settings) error
	arguments arguments
}

// command is a command that can be run.
type command interface {
	run(ctx context.Context, a *app) error
}

// usageError reports a wrong command line or a file that cannot be used.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, arguments ...any) error {
	return usageError{fmt.Sprintf(format, arguments...)}
}

func (a *app) main(ctx context.Context, args []string) int {
	config := arg.Config{Program: "baobabdale", IgnoreEnv: true, Out: a.err, Exit: func(int) {}}
	parser, err := arg.NewParser(config, &a.arguments)
	if err != nil {
		return a.fail(err)
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		return a.help(a.out, parser, ExitDone)
	}
	if err != nil {
		return a.fail(usagef("%v; see baobabdale %s", err, helpName(parser)))
	}
	if o := a.arguments.Output; o != "text" && o != "json" {
		return a.fail(usagef("--output is %q, want text or json", o))
	}
	if a.arguments.Timeout <= 0 {
		return a.fail(usagef("--timeout is %s, want more than 0", a.arguments.Timeout))
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		return a.help(a.err, parser, ExitUsage)
	}
	if err := c.run(ctx, a); err != nil {
		return a.fail(err)
	}
	return ExitDone
}

func (a *app) help(w io.Writer, p *arg.Parser, code int) int {
	if err := p.WriteHelpForSubcommand(w, p.SubcommandNames()...); err != nil {
		return a.fail(err)
	}
	return code
}

func helpName(p *arg.Parser) string { return strings.Join(append(p.SubcommandNames(), "--help"), " ") }

// fail prints the error and returns its exit code.
func (a *app) fail(err error) int {
	_, _ = fmt.Fprintf(a.err, "%s\n", describe(err))
	return exitCode(err)
}

// describe returns the error with what the operator can do about it.
func describe(err error) string {
	var settings *baobabsettings.Error
	if errors.As(err, &settings) {
		return settings.Error()
	}
	text := "baobabdale: " + err.Error()
	var e *baobaboperator.Error
	if !errors.As(err, &e) {
		return text
	}
	current, known := e.Current()
	if known && current.Revision > 0 {
		text += fmt.Sprintf("\n%s/%s is now at revision %d: %s", current.Kind, current.Name, current.Revision, compact(current.Text))
	}
	switch e.Kind() {
	case baobaboperator.ErrorConflict:
		text += "\n" + conflictHint(known)
	case baobaboperator.ErrorUnknownOutcome:
		text += "\nthe request may have been applied"
		if e.OperationID() != "" {
			text += "; run accept again with --operation " + e.OperationID() + ", which accepts at most once"
		}
	}
	return text
}

// conflictHint says what to do after a conflict. The newer resource is known unless the candidate has changed.
func conflictHint(known bool) string {
	if known {
		return "look at the newer value and run the command again"
	}
	return "look at the newer state with diff or list, and run the command again"
}

func exitCode(err error) int {
	var usage usageError
	var settings *baobabsettings.Error
	if errors.As(err, &usage) || errors.As(err, &settings) {
		return ExitUsage
	}
	var e *baobaboperator.Error
	if !errors.As(err, &e) {
		return ExitFailed
	}
	switch e.Kind() {
	case baobaboperator.ErrorInvalid, baobaboperator.ErrorUnauthorized:
		return ExitUsage
	case baobaboperator.ErrorConflict:
		return ExitConflict
	case baobaboperator.ErrorUnavailable:
		return ExitUnavailable
	case baobaboperator.ErrorRejected, baobaboperator.ErrorOverSize:
		return ExitRejected
	default:
		return ExitFailed
	}
}

// client returns a client of the nodes that the options or the environment name.
func (a *app) client() (*baobaboperator.Client, error) {
	nodes := a.arguments.Nodes
	if v := a.getenv("BAOBABDALE_NODE"); len(nodes) == 0 && v != "" {
		nodes = strings.Split(v, ",")
	}
	if len(nodes) == 0 {
		return nil, usagef("no node: use --node or BAOBABDALE_NODE")
	}
	file := a.arguments.TokenFile
	if file == "" {
		file = a.getenv("BAOBABDALE_TOKEN_FILE")
	}
	if file == "" {
		return nil, usagef("no token: use --token-file or BAOBABDALE_TOKEN_FILE")
	}
	token, err := a.readFile(file)
	if err != nil {
		return nil, usagef("read token: %v", err)
	}
	return baobaboperator.NewClient(nodes, string(bytes.TrimSpace(token)))
}

// request returns a context for one request of a client.
func (a *app) request(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.arguments.Timeout)
}

// connect returns a client and a context for one request. The function ends both.
func (a *app) connect(ctx context.Context) (*baobaboperator.Client, context.Context, func(), error) {
	client, err := a.client()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := a.request(ctx)
	return client, ctx, func() {
		cancel()
		client.Close()
	}, nil
}

// print writes v as JSON, or the text, depending on --output.
func (a *app) print(v any, text string) error {
	if a.arguments.Output != "json" {
		_, err := io.WriteString(a.out, text)
		return errors.Wrap(err, "write output")
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

func compact(text []byte) string {
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return string(text)
	}
	return b.String()
}
