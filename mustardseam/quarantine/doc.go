// Package quarantine finds the parts of prompts on which backend servers crash, so that requests with them can be refused
// (queries of death).
//
// A Table holds crashes: requests whose connection a backend server ended at the beginning of the answer, with the parts of
// their prompts. A part on which a backend server has since answered is sound, and crashes before that no longer count against
// it. Parts that are left and recur over several backend servers form a Pattern. Tables of several instances that exchange
// their crashes reach the same patterns in any order of the messages.
package quarantine
