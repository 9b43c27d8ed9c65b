// Package platform is a stand-in for the platform's instance list, which lags behind, and its rate-limited weight
// store.
package platform
