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
