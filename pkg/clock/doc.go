// Package clock gives the time that deadlines of authority are reckoned by.
package clock
