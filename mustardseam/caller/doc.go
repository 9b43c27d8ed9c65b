// Package caller serves the callers: the OpenAI-compatible API for model routes and plain HTTP for service routes.
package caller
