// Package supplykeeper keeps the desired number of a model's engines in each
// failure domain: a few dependable ones, and cheaper reclaimable ones that the
// platform may reclaim. It returns dependable engines to the platform only once
// the reclaimable ones that replace them are there. Engines that a failure domain has
// lost are replaced in the others.
package supplykeeper
