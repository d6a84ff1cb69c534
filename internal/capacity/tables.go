package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/slopes"
)

//go:embed slopes.json
var measured []byte

// Load reads the measured slopes.
func Load() ([]slopes.Slope, Set, error) {
	var list []slopes.Slope
	if err := json.Unmarshal(measured, &list); err != nil {
		return nil, nil, errors.Wrap(err, "decode slopes.json")
	}
	set := Set{}
	for _, s := range list {
		set[s.Name] = s
	}
	return list, set, nil
}

// Tables are the generated parts of the page, in Markdown.
func Tables() (string, error) {
	list, set, err := Load()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("### Costs of one node\n\n")
	writeCosts(&b, Today(), AsBuilt(), set)
	writeCosts(&b, Target(), AsBuilt(), set)
	writeCosts(&b, Target(), ForTarget(), set)
	b.WriteString("### Hard points at the target's size\n\n| question | answer |\n| --- | --- |\n")
	for _, p := range Points(Target(), set) {
		fmt.Fprintf(&b, "| %s | %s |\n", p.Question, p.Answer)
	}
	b.WriteString("\n### Slopes\n\n")
	writeSlopes(&b, list)
	return b.String(), nil
}

func writeCosts(b *strings.Builder, f Fleet, d Design, s Set) {
	fmt.Fprintf(b, "%s, %s: %.0f nodes, %.0f targets, %.0f requests/s\n\n", f.Name, d.Name, f.Nodes, f.Targets, f.RequestsPerSecond)
	b.WriteString("| role | messages/s | % of a core | memory | bytes/s | over budget |\n| --- | ---: | ---: | ---: | ---: | --- |\n")
	costs := Costs(f, d, s)
	for _, c := range append(costs, Control(costs)) {
		over := ""
		if c.Role != costs[0].Role {
			over = ControlBudget().exceeded(c)
		}
		fmt.Fprintf(b, "| %s | %.4g | %.3g | %s | %s | %s |\n", c.Role, c.Messages, 100*c.Core, size(c.Memory), size(c.Rate), over)
	}
	b.WriteString("\n")
}

// exceeded names what a cost has over the budget.
func (b Budget) exceeded(c Cost) string {
	var over []string
	if c.Core > b.Core {
		over = append(over, "core")
	}
	if c.Memory > b.Memory {
		over = append(over, "memory")
	}
	if c.Rate > b.Rate {
		over = append(over, "bytes/s")
	}
	return strings.Join(over, ", ")
}

func writeSlopes(b *strings.Builder, list []slopes.Slope) {
	b.WriteString("| slope | varied | measured | raw figures (size: value) | a unit more | fixed | R2 |\n| --- | --- | --- | --- | ---: | ---: | ---: |\n")
	for _, s := range list {
		var raw []string
		for _, p := range s.Samples {
			raw = append(raw, fmt.Sprintf("%.0f: %.6g", p.X, p.Y))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %.4g | %.4g | %.3f |\n", s.Name, s.X, s.Y, strings.Join(raw, "; "), s.PerUnit, s.Fixed, s.R2)
	}
}
