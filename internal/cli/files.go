package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

const iniSuffix = ".ini"

// sources are the directories that a command collects files from.
type sources struct {
	Dirs []string `arg:"" name:"dir" help:"Directories with *.ini files, searched to any depth."`
	Root string   `help:"Directory that file names are relative to. Every operator has to use the same." default:"." type:"existingdir"`
}

// fileSet is the collected files by name, and the names of the directories.
type fileSet struct {
	contents map[string][]byte
	dirs     []string
}

// collect reads every *.ini file under the directories.
func (s sources) collect() (fileSet, error) {
	set := fileSet{contents: map[string][]byte{}}
	for _, dir := range s.Dirs {
		name, err := s.name(dir)
		if err != nil {
			return set, err
		}
		set.dirs = append(set.dirs, name)
		if err := s.walk(dir, set.contents); err != nil {
			return set, err
		}
	}
	if len(set.contents) == 0 {
		return set, errors.Newf("no *.ini files in %s", strings.Join(s.Dirs, ", "))
	}
	return set, nil
}

func (s sources) walk(dir string, contents map[string][]byte) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return errors.Wrapf(err, "collect files dir=%s", dir)
		}
		if entry.IsDir() || !strings.HasSuffix(path, iniSuffix) {
			return nil
		}
		name, err := s.name(path)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(path)
		contents[name] = data
		return errors.Wrapf(err, "collect files")
	})
}

// name is the path relative to the root, with slashes.
func (s sources) name(path string) (string, error) {
	abs, err := filepath.Abs(path)
	if err != nil {
		return "", errors.Wrapf(err, "name of %s", path)
	}
	root, err := filepath.Abs(s.Root)
	if err != nil {
		return "", errors.Wrapf(err, "name of %s", path)
	}
	rel, err := filepath.Rel(root, abs)
	if err != nil || rel == ".." || strings.HasPrefix(rel, ".."+string(filepath.Separator)) {
		return "", errors.Mark(errors.Newf("%s is not under the root %s", path, s.Root), errUsage)
	}
	return filepath.ToSlash(rel), nil
}

// covers says that a file name lies in one of the directories.
func (f fileSet) covers(name string) bool {
	for _, dir := range f.dirs {
		if dir == "." || strings.HasPrefix(name, dir+"/") {
			return true
		}
	}
	return false
}
