package dialer

import (
	"fmt"
	"net/http"
)

// HeadError says why the head of an answer is none.
type HeadError struct {
	Problem string
}

// Error returns the problem.
func (e *HeadError) Error() string { return e.Problem }

// CheckHead returns a HeadError if the response is neither informational nor a final one. It
// refuses 101, since no request asks for another protocol.
func CheckHead(response *http.Response) error {
	return checkStatus(response.StatusCode)
}

// IsInformational reports whether another response follows the one with this status.
func IsInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// CheckFinal returns a HeadError if the status is not that of a final response.
func CheckFinal(status int) error {
	if status < 200 || status > 599 {
		return &HeadError{fmt.Sprintf("the status %03d is not between 200 and 599", status)}
	}
	return nil
}

func checkStatus(status int) error {
	if IsInformational(status) {
		return nil
	}
	return CheckFinal(status)
}
