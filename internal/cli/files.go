package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

const iniSuffix = ".ini"

// sources are the directories with a command's configuration files.
type sources struct {
	Dirs []string `arg:"" name:"dir" help:"Directories with *.ini files, searched recursively."`
	Root string   `help:"Directory that file names are relative to; must be the same for all operators." default:"." type:"existingdir"`
}

// fileSet holds the contents of files by name, and the names of the directories
// they are from.
type fileSet struct {
	contents map[string][]byte
	dirs     []string
}

// collect reads all *.ini files under the directories.
func (s sources) collect() (fileSet, error) {
	set := fileSet{contents: map[string][]byte{}}
	for _, dir := range s.Dirs {
		name, err := s.relativeName(dir)
		if err != nil {
			return set, err
		}
		set.dirs = append(set.dirs, name)
		if err := s.addFiles(dir, set.contents); err != nil {
			return set, err
		}
	}
	if len(set.contents) == 0 {
		return set, errors.Newf("no *.ini files in %s", strings.Join(s.Dirs, ", "))
	}
	return set, nil
}

// addFiles reads the *.ini files under a directory into contents.
func (s sources) addFiles(dir string, contents map[string][]byte) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return errors.Wrapf(err, "read configuration files dir=%s", dir)
		}
		if entry.IsDir() || !strings.HasSuffix(path, iniSuffix) {
			return nil
		}
		name, err := s.relativeName(path)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(path)
		contents[name] = data
		return errors.Wrapf(err, "read configuration file")
	})
}

// relativeName returns the path relative to the root, with slashes.
func (s sources) relativeName(path string) (string, error) {
	abs, err := filepath.Abs(path)
	if err != nil {
		return "", errors.Wrapf(err, "resolve path %s", path)
	}
	root, err := filepath.Abs(s.Root)
	if err != nil {
		return "", errors.Wrapf(err, "resolve path %s", path)
	}
	rel, err := filepath.Rel(root, abs)
	if err != nil || rel == ".." || strings.HasPrefix(rel, ".."+string(filepath.Separator)) {
		return "", errors.Mark(errors.Newf("%s is not under the root %s", path, s.Root), errUsage)
	}
	return filepath.ToSlash(rel), nil
}

// inDirs reports whether a file name is under one of the directories.
func (f fileSet) inDirs(name string) bool {
	for _, dir := range f.dirs {
		if dir == "." || strings.HasPrefix(name, dir+"/") {
			return true
		}
	}
	return false
}
