// Package logline writes one line of key=value pairs per event through klog.
// Lines never contain API keys or prompts: callers pass names, counts and IDs.
package logline
