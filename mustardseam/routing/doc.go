// Package routing picks the backend server with the shortest expected time to first token, based on queue, speed and
// prefix cache. It compares random servers with room and the servers that hold the prefix, instead of scanning all
// servers.
package routing
