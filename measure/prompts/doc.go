// Package prompts simulates the placement of requests with shared prompt parts on engines with prompt caches, in virtual
// time. One board places all requests, as the hub does.
package prompts
