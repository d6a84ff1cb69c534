// Package logline writes one key=value line for each event, through klog. It
// never takes a caller's key or a prompt: callers pass names, counts and ids.
package logline
