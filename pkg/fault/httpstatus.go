package fault

import "net/http"

// HTTPStatus returns the HTTP status for the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case Invalid:
		return http.StatusBadRequest
	case Unauthenticated:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Conflict, Fenced:
		return http.StatusConflict
	case Limited:
		return http.StatusTooManyRequests
	case Unavailable:
		return http.StatusServiceUnavailable
	case Timeout:
		return http.StatusGatewayTimeout
	case Unknown:
		return http.StatusBadGateway
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// MeansNotRun reports whether an HTTP status means to callers that their request has not run and
// will not: 408, 421, 429 and 503.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
