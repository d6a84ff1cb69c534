// Package platform contains HTTP clients for two services of the platform: the
// append-only log and the instance list, which lags behind the real state.
// Bodies are JSON; docs/PROTOCOLS.md specifies them.
package platform
