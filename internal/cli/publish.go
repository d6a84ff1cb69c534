package cli

import (
	"bytes"
	"fmt"
	"io"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logrec"
)

type lintCommand struct {
	sources `embed:""`
}

type lintResult struct {
	Files    int             `json:"files"`
	Problems config.Problems `json:"problems"`
}

func (r lintResult) writeText(w io.Writer) {
	for _, p := range r.Problems {
		fmt.Fprintln(w, p)
	}
	fmt.Fprintf(w, "%d files, %d problems\n", r.Files, len(r.Problems))
}

// Run validates the files as a complete set.
func (c *lintCommand) Run(e *Env) error {
	set, err := c.collect()
	if err != nil {
		return err
	}
	_, err = config.Build(set.contents)
	result := lintResult{Files: len(set.contents), Problems: config.Problems{}}
	errors.As(err, &result.Problems)
	if printErr := e.print(result); printErr != nil {
		return printErr
	}
	if len(result.Problems) > 0 {
		return problemsError(len(result.Problems))
	}
	return nil
}

// plannedFile describes what publishing does with a file.
type plannedFile struct {
	Name   string `json:"name"`
	Action string `json:"action"`
	// Base is the file's current revision; -1 if there is none.
	Base  int64    `json:"base"`
	Lines []string `json:"lines,omitempty"`
}

// plan is the difference between the files to publish and those in force.
type plan struct {
	// Revision is that of the configuration in force.
	Revision int64           `json:"revision"`
	Files    []plannedFile   `json:"files"`
	Problems config.Problems `json:"problems"`
	changes  []config.FileChange
}

func (p plan) writeText(w io.Writer) {
	for _, f := range p.Files {
		fmt.Fprintf(w, "%-8s %s (base %d)\n", f.Action, f.Name, f.Base)
		for _, line := range f.Lines {
			fmt.Fprintln(w, "  "+line)
		}
	}
	for _, problem := range p.Problems {
		fmt.Fprintln(w, problem)
	}
	fmt.Fprintf(w, "%d changes against revision %d\n", len(p.changes), p.Revision)
}

// makePlan compares the files with the state and validates the result.
func makePlan(s *config.State, set fileSet, prune bool) plan {
	p := plan{Revision: s.Revision, Files: []plannedFile{}, Problems: config.Problems{}}
	current := s.CurrentFiles()
	desired := s.CurrentFiles()
	for _, name := range sortedNames(set.contents) {
		contents := set.contents[name]
		old, exists := current[name]
		if exists && bytes.Equal(old, contents) {
			continue
		}
		action := "add"
		if exists {
			action = "change"
		}
		desired[name] = contents
		p.add(s, action, config.FileChange{Name: name, Contents: contents}, old)
	}
	for _, name := range sortedNames(current) {
		if _, inSet := set.contents[name]; inSet || !set.inDirs(name) {
			continue
		}
		if !prune {
			p.Files = append(p.Files, plannedFile{Name: name, Action: "keep", Base: s.FileRevision(name)})
			continue
		}
		delete(desired, name)
		p.add(s, "delete", config.FileChange{Name: name, Delete: true}, current[name])
	}
	_, err := config.Build(desired)
	errors.As(err, &p.Problems)
	return p
}

func (p *plan) add(s *config.State, action string, change config.FileChange, old []byte) {
	change.Base = s.FileRevision(change.Name)
	p.changes = append(p.changes, change)
	p.Files = append(p.Files, plannedFile{
		Name: change.Name, Action: action, Base: change.Base, Lines: diffLines(old, change.Contents),
	})
}

func sortedNames(files map[string][]byte) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type diffCommand struct {
	sources `embed:""`
	Prune   bool `help:"Delete files in force that the directories no longer have."`
}

// Run prints the plan.
func (c *diffCommand) Run(e *Env) error {
	set, err := c.collect()
	if err != nil {
		return err
	}
	f, err := e.replayConfig()
	if err != nil {
		return err
	}
	p := makePlan(f.State(), set, c.Prune)
	if err := e.print(p); err != nil {
		return err
	}
	if len(p.Problems) > 0 {
		return problemsError(len(p.Problems))
	}
	return nil
}

// operator holds the flags of commands that append a record.
type operator struct {
	As   string `help:"Your name, for the audit trail." required:"" env:"MASTICTRAY_OPERATOR" placeholder:"NAME"`
	Note string `help:"Reason, kept in the audit trail. Must not contain a key."`
	Op   string `help:"Operation ID. A command that is repeated with the ID of an earlier one never takes effect twice." placeholder:"ID"`
}

// opID returns the operation ID, a new one if none was given.
func (o *operator) opID() string {
	if o.Op == "" {
		o.Op = uuid.NewString()
	}
	return o.Op
}

type publishCommand struct {
	sources  `embed:""`
	operator `embed:""`
	Prune    bool  `help:"Delete files in force that the directories no longer have."`
	Expect   int64 `help:"Refuse if a file to be changed has a revision above this; diff prints the number." default:"-1" placeholder:"REVISION"`
}

// Run appends the change to the log and waits for its outcome.
func (c *publishCommand) Run(e *Env) error {
	set, err := c.collect()
	if err != nil {
		return err
	}
	f, err := e.replayConfig()
	if err != nil {
		return err
	}
	op := c.opID()
	if entry, ok := f.State().Outcome(op); ok {
		return e.reportOutcome(entry)
	}
	p := makePlan(f.State(), set, c.Prune)
	if len(p.Problems) > 0 {
		p.writeText(e.Stderr)
		return problemsError(len(p.Problems))
	}
	if len(p.changes) == 0 {
		return e.print(p)
	}
	if err := c.checkExpected(f.State(), p); err != nil {
		return err
	}
	change := config.Change{Op: op, Rules: config.RulesVersion, Note: c.Note, Files: p.changes}
	return e.submit(f, config.KindChange, c.As, op, change)
}

// checkExpected rejects changes of files that have a revision above --expect.
// The base revisions alone detect only changes made after the plan, as they are
// read just before it; they do not detect that the files are from an old
// checkout.
func (c *publishCommand) checkExpected(s *config.State, p plan) error {
	if c.Expect < 0 {
		return nil
	}
	for _, change := range p.changes {
		if change.Base > c.Expect {
			winner := s.Files[change.Name].By
			return errors.Mark(errors.Newf("%s: expected at most revision %d, but %s brought revision %d",
				change.Name, c.Expect, winner, change.Base), errRejected)
		}
	}
	return nil
}

// submit appends a record and reports its outcome.
func (e *Env) submit(f *config.Follower, kind logrec.Kind, by, op string, body any) error {
	entry, err := e.appendAndWait(f, kind, by, op, body)
	if err != nil {
		return err
	}
	return e.reportOutcome(entry)
}

// appendAndWait appends a record and waits for its outcome.
func (e *Env) appendAndWait(f *config.Follower, kind logrec.Kind, by, op string, body any) (audit.Entry, error) {
	record, err := logrec.Encode(kind, by, e.Now().UnixMilli(), body)
	if err != nil {
		return audit.Entry{}, errors.Wrap(err, "change does not fit into one log record; publish fewer files at once")
	}
	fmt.Fprintf(e.Stderr, "operation %s\n", op)
	if err := e.appendRecord(record); err != nil {
		return audit.Entry{}, err
	}
	return e.waitForOutcome(f, op)
}

// reportOutcome prints the audit entry of an operation and returns an error if
// the operation was rejected.
func (e *Env) reportOutcome(entry audit.Entry) error {
	if err := e.print(auditEntries{entry}); err != nil {
		return err
	}
	if entry.Outcome == audit.Rejected {
		return errors.Mark(errors.Newf("rejected: %s", entry.Reason), errRejected)
	}
	return nil
}

type outcomeCommand struct {
	Op string `arg:"" help:"Operation ID that an earlier command printed."`
}

// Run replays the config stream and prints the outcome of the operation.
func (c *outcomeCommand) Run(e *Env) error {
	f, err := e.replayConfig()
	if err != nil {
		return err
	}
	entry, ok := f.State().Outcome(c.Op)
	if !ok {
		return errors.Mark(errors.Newf("operation %s is not among the newest operations in the log up to offset %d", c.Op, f.Next()), errUnknown)
	}
	return e.reportOutcome(entry)
}
