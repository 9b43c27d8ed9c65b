// Package figure defines measured figures and their bounds, and prints them as tables or JSON.
package figure
