package cli

import (
	"fmt"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash" help:"Shell to complete for: bash." default:"bash"`
}

// Run prints a bash completion script. It completes the subcommands and flags
// of the command typed so far, and file names if none of these match.
func (c *completionCommand) Run(e *Env, k *kong.Context) error {
	fmt.Fprintln(e.Stdout, "# source <(mastictray completion bash)")
	fmt.Fprintln(e.Stdout, "_mastictray() {")
	fmt.Fprintln(e.Stdout, `  local word="${COMP_WORDS[COMP_CWORD]}" at="" w words`)
	fmt.Fprintln(e.Stdout, `  for w in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do case "$at $w" in`)
	var paths []string
	words := map[string]string{}
	walkCommands(k.Model.Node, "", func(path string, node *kong.Node) {
		paths = append(paths, path)
		words[path] = strings.Join(completionWords(node), " ")
	})
	for _, path := range paths[1:] {
		fmt.Fprintf(e.Stdout, "    %q) at=%q ;;\n", path, path)
	}
	fmt.Fprintln(e.Stdout, "  esac; done")
	fmt.Fprintln(e.Stdout, `  case "$at" in`)
	for _, path := range paths {
		fmt.Fprintf(e.Stdout, "    %q) words=%q ;;\n", path, words[path])
	}
	fmt.Fprintln(e.Stdout, "  esac")
	fmt.Fprintln(e.Stdout, `  COMPREPLY=($(compgen -W "$words" -- "$word"))`)
	fmt.Fprintln(e.Stdout, `  [[ ${#COMPREPLY[@]} -eq 0 ]] && COMPREPLY=($(compgen -f -- "$word"))`)
	fmt.Fprintln(e.Stdout, "}")
	fmt.Fprintln(e.Stdout, "complete -o filenames -F _mastictray mastictray")
	return nil
}

// walkCommands visits a command and its subcommands. A path has a leading space,
// such as " keys create".
func walkCommands(node *kong.Node, path string, visit func(string, *kong.Node)) {
	visit(path, node)
	for _, child := range node.Children {
		walkCommands(child, path+" "+child.Name, visit)
	}
}

func completionWords(node *kong.Node) []string {
	var words []string
	for _, child := range node.Children {
		words = append(words, child.Name)
	}
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			words = append(words, "--"+flag.Name)
		}
	}
	sort.Strings(words)
	return words
}
