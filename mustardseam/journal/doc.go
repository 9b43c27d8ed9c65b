// Package journal writes log lines without ever holding up those who log: lines wait in a bounded buffer, their rate is
// bounded, and lines that do not fit are counted and left out.
package journal
