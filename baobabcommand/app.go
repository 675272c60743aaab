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

// app is one execution of a command line. Tests set its fields to replace the streams, environment and files of the
// process.
type app struct {
	out       io.Writer
	err       io.Writer
	getenv    func(string) string
	readFile  func(string) ([]byte, error)
	runNode   func(context.Context, *baobabsettings.Settings) error
	arguments arguments
}

// command is implemented by commands that can be run, not by groups of subcommands.
type command interface {
	run(ctx context.Context, a *app) error
}

// usageError reports an invalid command line or a file that cannot be used.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, arguments ...any) error {
	return usageError{fmt.Sprintf(format, arguments...)}
}

// main parses and runs the command line and returns the exit code.
func (a *app) main(ctx context.Context, args []string) int {
	config := arg.Config{Program: "baobabdale", IgnoreEnv: true, Out: a.err, Exit: func(int) {}}
	parser, err := arg.NewParser(config, &a.arguments)
	if err != nil {
		return a.reportError(err)
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		return a.writeHelp(a.out, parser, ExitDone)
	}
	if err != nil {
		return a.reportError(usagef("%v; see baobabdale %s", err, helpArguments(parser)))
	}
	if o := a.arguments.Output; o != "text" && o != "json" {
		return a.reportError(usagef("--output is %q, want text or json", o))
	}
	if a.arguments.Timeout <= 0 {
		return a.reportError(usagef("--timeout is %s, want more than 0", a.arguments.Timeout))
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		return a.writeHelp(a.err, parser, ExitUsage)
	}
	if err := c.run(ctx, a); err != nil {
		return a.reportError(err)
	}
	return ExitDone
}

// writeHelp writes the help of the parsed command and returns code.
func (a *app) writeHelp(w io.Writer, p *arg.Parser, code int) int {
	if err := p.WriteHelpForSubcommand(w, p.SubcommandNames()...); err != nil {
		return a.reportError(err)
	}
	return code
}

// helpArguments returns the arguments that show the help of the parsed command.
func helpArguments(p *arg.Parser) string {
	return strings.Join(append(p.SubcommandNames(), "--help"), " ")
}

// reportError writes the error to the error output and returns its exit code.
func (a *app) reportError(err error) int {
	_, _ = fmt.Fprintf(a.err, "%s\n", errorMessage(err))
	return exitCode(err)
}

// errorMessage returns the text of the error and advice on how to proceed.
func errorMessage(err error) string {
	var settingsError *baobabsettings.Error
	if errors.As(err, &settingsError) {
		return settingsError.Error()
	}
	text := "baobabdale: " + err.Error()
	var e *baobaboperator.Error
	if !errors.As(err, &e) {
		return text
	}
	current, known := e.Current()
	if known && current.Revision > 0 {
		text += fmt.Sprintf("\n%s/%s is now at revision %d: %s",
			current.Kind, current.Name, current.Revision, compactJSON(current.Text))
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

// conflictHint returns advice on a conflict. The newer resource is known unless the conflict concerns the candidate.
func conflictHint(known bool) string {
	if known {
		return "look at the newer value and run the command again"
	}
	return "look at the newer state with diff or list, and run the command again"
}

func exitCode(err error) int {
	var usage usageError
	var settingsError *baobabsettings.Error
	if errors.As(err, &usage) || errors.As(err, &settingsError) {
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
	case baobaboperator.ErrorRejected, baobaboperator.ErrorTooLarge:
		return ExitRejected
	default:
		return ExitFailed
	}
}

// newClient returns a client of the nodes given by the options or the environment.
func (a *app) newClient() (*baobaboperator.Client, error) {
	nodes := a.arguments.Nodes
	if v := a.getenv("BAOBABDALE_NODE"); len(nodes) == 0 && v != "" {
		nodes = strings.Split(v, ",")
	}
	if len(nodes) == 0 {
		return nil, usagef("no node: use --node or BAOBABDALE_NODE")
	}
	tokenFile := a.arguments.TokenFile
	if tokenFile == "" {
		tokenFile = a.getenv("BAOBABDALE_TOKEN_FILE")
	}
	if tokenFile == "" {
		return nil, usagef("no token: use --token-file or BAOBABDALE_TOKEN_FILE")
	}
	token, err := a.readFile(tokenFile)
	if err != nil {
		return nil, usagef("read token: %v", err)
	}
	return baobaboperator.NewClient(nodes, string(bytes.TrimSpace(token)))
}

// requestContext returns a context with the timeout of one request.
func (a *app) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.arguments.Timeout)
}

// newClientWithContext returns a client, a context with the timeout of one request, and a function that closes the
// client and cancels the context.
func (a *app) newClientWithContext(ctx context.Context) (*baobaboperator.Client, context.Context, func(), error) {
	client, err := a.newClient()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := a.requestContext(ctx)
	return client, ctx, func() {
		cancel()
		client.Close()
	}, nil
}

// print writes v as JSON if --output is json, else the text.
func (a *app) print(v any, text string) error {
	if a.arguments.Output != "json" {
		_, err := io.WriteString(a.out, text)
		return errors.Wrap(err, "write output")
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

// compactJSON returns the text without insignificant white space, or unchanged if it is not JSON.
func compactJSON(text []byte) string {
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return string(text)
	}
	return b.String()
}
