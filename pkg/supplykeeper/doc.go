// Package supplykeeper keeps fixed counts of a model's engines in each failure domain,
// by ordering engines from the platform. Engines that a domain has lost are replaced in
// the others.
package supplykeeper
