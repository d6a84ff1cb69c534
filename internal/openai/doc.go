// Package openai parses the fields of OpenAI-style requests and responses that
// routing depends on, and encodes errors in the OpenAI format. It does no I/O
// other than writing an error to an http.ResponseWriter.
package openai
