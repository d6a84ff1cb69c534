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

// runs holds slopes from the packages' own tests and benchmarks: samples and
// commands as they were printed; the lines are fitted here.
//
//go:embed runs.json
var runs []byte

// Load reads the measured slopes.
func Load() ([]slopes.Slope, Set, error) {
	var list []slopes.Slope
	if err := json.Unmarshal(measured, &list); err != nil {
		return nil, nil, errors.Wrap(err, "decode slopes.json")
	}
	var printed []slopes.Slope
	if err := json.Unmarshal(runs, &printed); err != nil {
		return nil, nil, errors.Wrap(err, "decode runs.json")
	}
	for i := range printed {
		printed[i].Fit()
	}
	list = append(list, printed...)
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
	writeCosts(&b, Today(), set, AsBuilt())
	writeCosts(&b, Target(), set, AsBuilt(), ForTarget())
	b.WriteString("### Hard points at the target's size\n\n| question | answer |\n| --- | --- |\n")
	for _, p := range Points(Target(), set) {
		fmt.Fprintf(&b, "| %s | %s |\n", p.Question, p.Answer)
	}
	b.WriteString("\n### Slopes\n\n")
	writeSlopes(&b, list)
	return b.String(), nil
}

// writeCosts writes one table of a size, with a row for each role and design.
func writeCosts(b *strings.Builder, f Fleet, s Set, designs ...Design) {
	fmt.Fprintf(b, "%s: %.0f nodes, %.0f targets, %.0f requests/s\n\n", f.Name, f.Nodes, f.Targets, f.RequestsPerSecond)
	b.WriteString("| role | | messages/s | % of a core | memory | bytes/s | over budget |\n| --- | --- | ---: | ---: | ---: | ---: | --- |\n")
	var costs [][]Cost
	for _, d := range designs {
		list := Costs(f, d, s)
		costs = append(costs, append(list, Control(list)))
	}
	for role := range costs[0] {
		for i, d := range designs {
			writeCost(b, costs[i][role], d, role > 0)
		}
	}
	b.WriteString("\n")
}

func writeCost(b *strings.Builder, c Cost, d Design, control bool) {
	over := ""
	if control {
		over = ControlBudget().exceeded(c)
	}
	fmt.Fprintf(b, "| %s | %s | %.4g | %.3g | %s | %s | %s |\n", c.Role, d.Name, c.Messages, 100*c.Core, size(c.Memory), size(c.Rate), over)
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
	b.WriteString("\nSlopes that `mastictray-bench slopes` does not take itself:\n\n")
	for _, s := range list {
		if s.Command != "" {
			fmt.Fprintf(b, "- %s: `%s`\n", s.Name, s.Command)
		}
	}
}
