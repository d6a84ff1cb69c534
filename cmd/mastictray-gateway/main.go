// Command mastictray-gateway is the gateway process of an entry instance. It
// forwards client requests to targets. Routes, API keys, rate limits, targets and
// peer instances come from the platform's store.
package main

import "github.com/mastictray/mastictray/internal/gatewaycmd"

func main() { gatewaycmd.Main(nil) }
