// Package ctl holds the commands of the operators' tool.
package ctl
