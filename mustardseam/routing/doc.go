// Package routing picks the backend server with the shortest expected time to first token, from queue, speed and
// prefix cache. It does not scan all servers: it compares random servers with room and those that hold the prefix.
package routing
