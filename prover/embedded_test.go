package prover_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestOneProcessWithAllRolesServes starts one daemon whose settings name nothing
// but addresses: it makes its keys, declares its service and serves it.
func TestOneProcessWithAllRolesServes(t *testing.T) {
	c := newCluster(t, 107)
	ip := c.net + ".1.1"
	c.start("service", "standin", "service", "--listen", ip+":9000")
	c.daemon("celeryvalved", fmt.Sprintf(`Listen = "%[1]s:7400"
Admin = "%[1]s:7401"
DataFolder = %[2]q

[Keys]
Folder = %[3]q

[Control]
Operators = "%[1]s:7402"

[Entry]
Listen = "%[1]s:8080"

[Agent]
UpstreamAddress = "%[1]s:9000"
`, ip, c.path("data"), c.path("own-keys")))
	c.eventually("the default service answers", func() bool {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ip+":8080/default/records/1", nil)
		if err != nil {
			return false
		}
		req.Header.Set("Authorization", "Bearer local")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK && resp.Header.Get("Celeryvalve-Outcome") == "Completed"
	})
}
