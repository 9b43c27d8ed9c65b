// Package platform is a stand-in of the platform's lagging list of instances and its rate-limited weight store.
package platform
