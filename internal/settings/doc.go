// Package settings reads what one entry process is told at start: an INI
// file, environment variables and flags, in rising order of precedence.
package settings
