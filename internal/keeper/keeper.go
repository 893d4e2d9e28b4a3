// Package keeper decides which endpoint of a pool takes the next request.
package keeper
