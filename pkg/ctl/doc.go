// Package ctl implements the commands of amaranthctl, the operators' tool.
package ctl
