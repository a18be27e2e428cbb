package dialer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError says why the head of an answer is none.
type HeadError struct {
	Problem string
}

// Error returns the problem.
func (e *HeadError) Error() string { return e.Problem }

// CheckHead returns a HeadError if the response is neither informational nor a final one, or if
// a name in its header is no token. It refuses 101, since no request asks for another protocol.
func CheckHead(response *http.Response) error {
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return CheckNames(response.Header)
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

// CheckNames returns a HeadError if a name in the header, or the trailer, is no token. net/http
// lets names with blanks through.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{fmt.Sprintf("the field name %q has bytes that no field name may have", name)}
		}
	}
	return nil
}
