// Package caller is the HTTP server for callers: the OpenAI-compatible API for model routes and plain HTTP for service
// routes.
package caller
