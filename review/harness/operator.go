//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// route is a route as operators write it.
type route map[string]any

func plainRoute(name, host, prefix, service, kind string) route {
	return route{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}
}

const apiKey = "jnbanfqasnmgkcuyj8pj"

func configuration(version int, routes []route, services []map[string]any, maxHeader int) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": maxHeader, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{"name": "bozi300", "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// declare sends a configuration to one control address after the other until it is acknowledged.
func (f *fleet) declare(body []byte) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		for _, m := range f.machines {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.control()+"/config/replace", bytes.NewReader(body))
			if err != nil {
				cancel()
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			status := 0
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				status = response.StatusCode
			}
			cancel()
			f.record.add("operator", "configuration of %d bytes to %s -> %d", len(body), m.name, status)
			if status == http.StatusOK {
				return nil
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return errors.New("no configuration was acknowledged")
}
