// Package settings reads the settings of an entry process from flags, an INI
// file and environment variables. Flags override the file, and the file
// overrides the environment.
package settings
