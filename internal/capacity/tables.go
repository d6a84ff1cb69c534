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
var slopesJSON []byte

// runsJSON holds the slopes that tests and benchmarks of other packages printed,
// with samples and commands but without the fitted lines.
//
//go:embed runs.json
var runsJSON []byte

// LoadSlopes returns the measured slopes as a list in file order and by name.
func LoadSlopes() ([]slopes.Slope, SlopeSet, error) {
	var all []slopes.Slope
	if err := json.Unmarshal(slopesJSON, &all); err != nil {
		return nil, nil, errors.Wrap(err, "decode slopes.json")
	}
	var fromRuns []slopes.Slope
	if err := json.Unmarshal(runsJSON, &fromRuns); err != nil {
		return nil, nil, errors.Wrap(err, "decode runs.json")
	}
	for i := range fromRuns {
		fromRuns[i].Fit()
	}
	all = append(all, fromRuns...)
	set := SlopeSet{}
	for _, s := range all {
		set[s.Name] = s
	}
	return all, set, nil
}

// Tables returns the generated parts of docs/CAPACITY.md in Markdown.
func Tables() (string, error) {
	list, set, err := LoadSlopes()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("### Costs of one node\n\n")
	writeCostTable(&b, CurrentFleet(), set, CurrentDesign())
	writeCostTable(&b, RequiredFleet(), set, CurrentDesign(), PlannedDesign())
	b.WriteString("### Hard points at the target's size\n\n| question | answer |\n| --- | --- |\n")
	for _, p := range Estimates(RequiredFleet(), set) {
		fmt.Fprintf(&b, "| %s | %s |\n", p.Question, p.Answer)
	}
	b.WriteString("\n### Slopes\n\n")
	writeSlopeTable(&b, list)
	return b.String(), nil
}

// writeCostTable writes the table of one fleet size with a row for each role and
// design.
func writeCostTable(b *strings.Builder, f Fleet, s SlopeSet, designs ...Design) {
	fmt.Fprintf(b, "%s: %.0f nodes, %.0f targets, %.0f requests/s\n\n", f.Name, f.Nodes, f.Targets, f.RequestsPerSecond)
	b.WriteString("| role | | messages/s | % of a core | memory | bytes/s | over budget |\n| --- | --- | ---: | ---: | ---: | ---: | --- |\n")
	var costs [][]Cost
	for _, d := range designs {
		list := RoleCosts(f, d, s)
		costs = append(costs, append(list, ControlTotal(list)))
	}
	for role := range costs[0] {
		for i, d := range designs {
			writeCostRow(b, costs[i][role], d, role > 0)
		}
	}
	b.WriteString("\n")
}

func writeCostRow(b *strings.Builder, c Cost, d Design, control bool) {
	exceeded := ""
	if control {
		exceeded = ControlBudget().exceededResources(c)
	}
	fmt.Fprintf(b, "| %s | %s | %.4g | %.3g | %s | %s | %s |\n", c.Role, d.Name, c.MessagesPerSecond, 100*c.Cores, formatBytes(c.MemoryBytes), formatBytes(c.BytesPerSecond), exceeded)
}

// exceededResources lists the resources of which a cost exceeds the budget.
func (b Budget) exceededResources(c Cost) string {
	var exceeded []string
	if c.Cores > b.Cores {
		exceeded = append(exceeded, "core")
	}
	if c.MemoryBytes > b.MemoryBytes {
		exceeded = append(exceeded, "memory")
	}
	if c.BytesPerSecond > b.BytesPerSecond {
		exceeded = append(exceeded, "bytes/s")
	}
	return strings.Join(exceeded, ", ")
}

func writeSlopeTable(b *strings.Builder, list []slopes.Slope) {
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
