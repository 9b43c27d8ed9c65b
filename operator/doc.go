// Package operator builds the configuration that operators submit: teams, tiers, data centres, pools, backend
// servers, routes and rollouts as immutable values, validated and encoded as YAML.
package operator
