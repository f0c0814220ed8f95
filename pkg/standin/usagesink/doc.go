// Package usagesink is a stand-in for the interface that takes usage reports.
package usagesink
