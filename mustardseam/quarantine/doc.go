// Package quarantine finds the requests and the parts of prompts on which backend servers crash, so that they can be refused
// (queries of death). A request is known by its fingerprint, which is handled like one more part of its prompt: only requests with
// the same fingerprint have it.
//
// A Table holds crashes: requests whose connection a backend server ended at the beginning of the answer, with the parts of
// their prompts. A part on which a backend server has since answered is sound, and crashes before that no longer count against
// it. Parts that are left and recur over several backend servers form a Pattern. Tables of several instances that exchange
// their crashes reach the same patterns in any order of the messages.
package quarantine
