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
	hedgeDelay                         = time.Second
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

// outcome is what one replica answered.
type outcome struct {
	text []byte
	err  error
}

// call asks one replica after another until one gives an answer that is not
// Unavailable. The next one is asked at once after a refusal, and after
// hedgeDelay when there is no answer: a frozen replica may still take
// connections. Every call may be repeated.
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, len(c.urls))
	text, err := firstAnswer(c.urls, outcomes, func(url string) {
		text, err := send(ctx, client, method, url+path, data)
		outcomes <- outcome{text, err}
	})
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, explainer.Wrap(err, explainer.Corrupt, "the answer of control is malformed", "use a client of the same release")
	}
	return answer, nil
}

// firstAnswer asks the urls in turn and returns the first outcome that is not
// Unavailable, or the last one.
func firstAnswer(urls []string, outcomes <-chan outcome, ask func(url string)) ([]byte, error) {
	asked, answered := 0, 0
	next := func() {
		if asked < len(urls) {
			go ask(urls[asked])
			asked++
		}
	}
	next()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			next()
		case o := <-outcomes:
			answered++
			last := answered == len(urls)
			if explainer.KindOf(o.err) != explainer.Unavailable || last {
				return o.text, o.err
			}
			next()
		}
	}
}

func send(ctx context.Context, client *http.Client, method, url string, data []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, explainer.Wrap(err, explainer.InvalidInput, "the address of control is not a URL", "write https://127.0.0.1:7402")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "can't reach control at "+url,
			"check --control and that the key is of the same authority")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)))
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "the answer of control broke off", "try again")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemOf(resp.Status, text)
	}
	return text, nil
}

func problemOf(status string, text []byte) error {
	var p Problem
	if err := json.Unmarshal(text, &p); err != nil || p.Kind == "" {
		return explainer.New(explainer.Internal, fmt.Sprintf("control answered %s", status), "read its log")
	}
	return explainer.New(p.Kind, p.Problem, p.Remedy)
}
