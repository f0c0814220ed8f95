// Package usagesink simulates the platform's interface for usage reports.
package usagesink
