package ident

// SoftwareVersion is the version of a target's software.
type SoftwareVersion string

// UnknownVersion stands for the version of a target whose process may be another one than that
// which stated it. No target states it.
const UnknownVersion SoftwareVersion = "\x00unknown"
