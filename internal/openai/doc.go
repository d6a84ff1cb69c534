// Package openai reads the parts of OpenAI-style requests and answers that
// the router decides on, and writes errors in their shape. It is pure.
package openai
