// Command cassiawood is the operators' command-line tool.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cassiawood/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	p := &program{out: os.Stdout, err: os.Stderr, connect: connect, newID: newChangeID}
	os.Exit(p.run(ctx, os.Args[1:]))
}

// program is one invocation of the tool.
type program struct {
	out, err io.Writer
	connect  func(settings string) (operator.Backend, operator.ClientSettings, error)
	newID    func() string

	backend  operator.Backend
	settings operator.ClientSettings

	// Flags that are common to the commands.
	json         bool
	settingsFile string
	author       string
}

// run executes one command and returns the exit code.
func (p *program) run(ctx context.Context, args []string) (code int) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			fmt.Fprintf(p.err, "cassiawood: this is a fault of the program, please report it: %v\n", panicValue)
			code = exitUnreachable
		}
	}()
	if len(args) == 0 || isHelp(args[0]) {
		fmt.Fprint(p.out, overview())
		if len(args) == 0 {
			return exitUsage
		}
		return exitOK
	}
	c := findCommand(args[0])
	if c == nil {
		return p.fail(&usageError{fmt.Sprintf("there is no command %q; cassiawood -h lists the commands", args[0])})
	}
	return p.execute(ctx, c, args[1:])
}

func isHelp(word string) bool {
	return word == "-h" || word == "-help" || word == "--help" || word == "help"
}

func (p *program) execute(ctx context.Context, c *command, args []string) int {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.BoolVar(&p.json, "json", false, "print JSON for scripts")
	if !c.offline {
		flags.StringVar(&p.settingsFile, "settings", "", "settings `file` (default: see cassiawood -h)")
		flags.StringVar(&p.author, "author", defaultAuthor(), "your `name` in the history")
	}
	action := c.prepare(p, flags)
	operands, err := parseFlags(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(p.out, c.help(flags))
		return exitOK
	}
	if err == nil && len(operands) != len(c.operands) {
		err = fmt.Errorf("%s takes %s", c.name, c.describeOperands())
	}
	if err != nil {
		return p.fail(&usageError{fmt.Sprintf("%v; cassiawood %s -h explains the command", err, c.name)})
	}
	if !c.offline {
		if p.backend, p.settings, err = p.connect(p.settingsFile); err != nil {
			return p.fail(&usageError{err.Error()})
		}
	}
	return p.fail(action(ctx, operands))
}

// parseFlags parses flags that stand before, between and after the operands, and
// returns the operands.
func parseFlags(flags *flag.FlagSet, args []string) ([]string, error) {
	var operands []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		args = flags.Args()
		if len(args) == 0 {
			return operands, nil
		}
		operands = append(operands, args[0])
		args = args[1:]
	}
}

// fail prints err unless it is nil, and returns its exit code.
func (p *program) fail(err error) int {
	if err == nil {
		return exitOK
	}
	if p.json {
		p.printJSON(operator.ErrorJSON(err))
	} else {
		fmt.Fprintf(p.err, "cassiawood: %s\n", describeError(err))
	}
	return exitCode(err)
}

func (p *program) printJSON(value any) {
	text, err := operator.EncodeJSON(value)
	if err != nil {
		fmt.Fprintf(p.err, "cassiawood: %v\n", err)
		return
	}
	p.out.Write(text)
}

// print writes text, or value as JSON if the flag -json is set.
func (p *program) print(text string, value any) error {
	if p.json {
		p.printJSON(value)
		return nil
	}
	_, err := io.WriteString(p.out, text)
	return err
}
