// Package supplykeeper keeps the wanted number of a model's engines in each
// failure domain: a few that stay, and cheap ones that the platform may take
// back. It gives back engines that stay only once the cheap ones are there.
package supplykeeper
