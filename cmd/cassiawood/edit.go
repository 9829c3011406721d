package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/diff"

	"cassiawood/internal/document"
	"cassiawood/internal/operator"
)

// readDocument reads and checks a document. It returns an error with the findings
// if there are any.
func readDocument(file string) ([]document.Section, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	if info.Size() > document.MaxDocumentBytes {
		return nil, &usageError{fmt.Sprintf("%s is longer than %d characters", file, document.MaxDocumentBytes)}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	sections, findings := document.CheckDocument(string(text))
	if len(findings) > 0 {
		reason := fmt.Sprintf("%s in %s, where lines are counted from the top of the file:", count(len(findings), "problem"), file)
		return nil, &operator.RefusedError{Reason: reason, Findings: findings}
	}
	return sections, nil
}

func prepareCheck(p *program, _ *flag.FlagSet) action {
	return func(_ context.Context, operands []string) error {
		sections, err := readDocument(operands[0])
		if err != nil {
			return err
		}
		services := 0
		for _, s := range sections {
			parsed, _ := document.ParseSection(s)
			services += len(parsed)
		}
		text := fmt.Sprintf("%s: no problems in %s with %s\n", operands[0], count(len(sections), "section"), count(services, "service"))
		return p.print(text, operator.FindingsJSON([]document.Finding{}))
	}
}

func prepareDiff(p *program, _ *flag.FlagSet) action {
	return func(ctx context.Context, operands []string) error {
		sections, err := readDocument(operands[0])
		if err != nil {
			return err
		}
		inForce, err := p.inForce(ctx)
		if err != nil {
			return err
		}
		var b strings.Builder
		for _, s := range sections {
			old := inForce[s.Heading]
			name := fmt.Sprintf("section %q in force, version %d", s.Heading, old.Version)
			b.Write(diff.Diff(name, []byte(withFinalNewline(old.Text)), operands[0], []byte(withFinalNewline(s.Text))))
		}
		text := b.String()
		if text == "" {
			text = "no differences\n"
		}
		return p.print(text, map[string]string{"diff": b.String()})
	}
}

// withFinalNewline appends a newline to text unless it is empty, so that the diff
// does not show the last line as changed.
func withFinalNewline(text string) string {
	if text == "" {
		return ""
	}
	return text + "\n"
}

// inForce returns the sections in force, keyed by heading.
func (p *program) inForce(ctx context.Context) (map[string]document.Section, error) {
	sections, err := p.backend.Sections(ctx)
	byHeading := map[string]document.Section{}
	for _, s := range sections {
		byHeading[s.Heading] = s
	}
	return byHeading, err
}

func prepareSave(p *program, flags *flag.FlagSet) action {
	id := flags.String("change-id", "", "`ID` of an earlier attempt whose outcome is unknown")
	keepFile := flags.Bool("keep-file", false, "do not write the new versions into FILE")
	return func(ctx context.Context, operands []string) error {
		sections, err := readDocument(operands[0])
		if err != nil {
			return err
		}
		inForce, err := p.inForce(ctx)
		if err != nil {
			return err
		}
		changed, err := p.changedSections(sections, inForce)
		if err != nil {
			return err
		}
		if *id != "" && len(changed) > 1 {
			return &usageError{"-change-id belongs to one section, but several differ from those in force"}
		}
		answers, err := p.saveAll(ctx, changed, *id)
		if !*keepFile {
			p.writeVersions(operands[0], sections)
		}
		if err == nil && len(answers) == 0 {
			return p.print("nothing to save: the document in force is the same\n", []operator.SaveResult{})
		}
		if p.json && err == nil {
			p.printJSON(answers)
		}
		return err
	}
}

// changedSections returns the sections that differ from those in force. It sets the
// version of each unchanged section to the one in force.
func (p *program) changedSections(sections []document.Section, inForce map[string]document.Section) ([]*document.Section, error) {
	var changed []*document.Section
	for i := range sections {
		s := &sections[i]
		old, exists := inForce[s.Heading]
		if exists && old.Text == s.Text && old.Team == s.Team {
			s.Version = old.Version
			continue
		}
		if p.settings.Team != "" && s.Team != p.settings.Team {
			return nil, &operator.RefusedError{Reason: fmt.Sprintf(
				"section %q belongs to team %q and differs from the one in force, but your token is of team %q; nothing was changed",
				s.Heading, s.Team, p.settings.Team)}
		}
		changed = append(changed, s)
	}
	return changed, nil
}

// saveAll saves the sections in order and stops at the first failure.
func (p *program) saveAll(ctx context.Context, changed []*document.Section, id string) ([]operator.SaveResult, error) {
	var answers []operator.SaveResult
	for _, s := range changed {
		answer, err := p.save(ctx, *s, id)
		if err != nil {
			return answers, err
		}
		s.Version = answer.Version
		answers = append(answers, answer)
	}
	return answers, nil
}

// save saves one section and prints where it is in force.
func (p *program) save(ctx context.Context, s document.Section, id string) (operator.SaveResult, error) {
	if id == "" {
		id = p.newID()
	}
	answer, err := p.backend.Save(ctx, operator.Change{ID: id, Author: p.author, Section: s.Heading, BaseVersion: s.Version, Text: s.Text})
	var refused *operator.RefusedError
	if errors.As(err, &refused) {
		return answer, &operator.RefusedError{
			Reason:   fmt.Sprintf("section %q was not saved: %s", s.Heading, refused.Reason),
			Findings: document.WithFileLines(refused.Findings, []document.Section{s}),
		}
	}
	if err == nil && !p.json {
		fmt.Fprintln(p.out, describeAnswer(answer))
	}
	return answer, err
}

// writeVersions writes sections back to file if their versions changed. The
// changes are in force by then, so a failure is only a warning.
func (p *program) writeVersions(file string, sections []document.Section) {
	old, err := os.ReadFile(file)
	if err == nil {
		before, _ := document.ParseDocument(string(old))
		if slices.EqualFunc(before, sections, func(a, b document.Section) bool { return a.Version == b.Version }) {
			return
		}
		err = replaceFile(file, document.FormatDocument(sections))
	}
	if err != nil {
		fmt.Fprintf(p.err, "cassiawood: the new versions are not in the headings of the file: %v\n", err)
	}
}

// replaceFile replaces a file atomically, so that a crash leaves either the old or
// the new text.
func replaceFile(file, text string) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(file), ".cassiawood-*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // has no effect after the rename
	_, err = temporary.WriteString(text)
	err = errors.Join(err, temporary.Chmod(info.Mode().Perm()), temporary.Sync(), temporary.Close())
	if err != nil {
		return err
	}
	return os.Rename(temporary.Name(), file)
}

func prepareTakeBack(p *program, flags *flag.FlagSet) action {
	heading := flags.String("section", "", "`heading` of the section (default: your team's only one)")
	return func(ctx context.Context, operands []string) error {
		version, err := strconv.ParseUint(operands[0], 10, 64)
		if err != nil || version == 0 {
			return &usageError{fmt.Sprintf("%q is not a version; cassiawood history lists them", operands[0])}
		}
		current, err := p.pickSection(ctx, *heading)
		if err != nil {
			return err
		}
		earlier, err := p.backend.Section(ctx, current.Heading, version)
		if err != nil {
			return err
		}
		current.Text = earlier.Text
		answer, err := p.save(ctx, current, "")
		if err == nil && p.json {
			p.printJSON(answer)
		}
		return err
	}
}
