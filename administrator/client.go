package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"celeryvalve/certifier"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	clientTimeout                      = 10 * time.Second
	maxAnswer     identifier.ByteCount = 64 << 20
)

// Client calls the API of whichever replica answers.
type Client struct {
	urls   []string
	source *certifier.Source
}

// NewClient returns a client of the replicas at urls, with the operator's key.
func NewClient(urls []string, source *certifier.Source) *Client {
	return &Client{urls: urls, source: source}
}

// Get reads the view at path.
func Get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil)
}

// Post sends body to path.
func Post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	return call[T](ctx, c, http.MethodPost, path, body)
}

// Delete removes what is at path.
func Delete[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodDelete, path, nil)
}

// call asks one replica after another until one gives an answer that is not
// Unavailable.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var answer T
	tlsConfig, err := c.source.Client("http/1.1")
	if err != nil {
		return answer, err
	}
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig}}
	defer client.CloseIdleConnections()
	data, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	for _, url := range c.urls {
		err = send(ctx, client, method, url+path, data, &answer)
		if err == nil || explainer.KindOf(err) != explainer.Unavailable {
			return answer, err
		}
	}
	return answer, err
}

func send(ctx context.Context, client *http.Client, method, url string, data []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return explainer.Wrap(err, explainer.InvalidInput, "the address of control is not a URL", "write https://127.0.0.1:7402")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "can't reach control at "+url,
			"check --control and that the key is of the same authority")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)))
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, "the answer of control broke off", "try again")
	}
	if resp.StatusCode != http.StatusOK {
		return problemOf(resp.Status, text)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return explainer.Wrap(err, explainer.Corrupt, "the answer of control is malformed", "use a client of the same release")
	}
	return nil
}

func problemOf(status string, text []byte) error {
	var p Problem
	if err := json.Unmarshal(text, &p); err != nil || p.Kind == "" {
		return explainer.New(explainer.Internal, fmt.Sprintf("control answered %s", status), "read its log")
	}
	return explainer.New(p.Kind, p.Problem, p.Remedy)
}
