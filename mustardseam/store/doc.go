// Package store follows the platform's metadata store. A Follower holds a copy of its items, keeps it up to date by long
// polls or by what other instances pass on, and reports each change in the order of revisions. The copy outlives outages
// of the store. What keys and values mean is the business of the adapter that decodes them.
package store
